#include "pollenreel/request/classify.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using declarations::kind;

bool covers(const kind& k, const incoming_request& a) {
    if (a.kind) {
        return k.id == *a.kind;
    }
    return std::find(k.methods.begin(), k.methods.end(), a.method) !=
           k.methods.end();
}

} // namespace

filter_result<classified_request> classify(const incoming_request& a,
                                           const routing::snapshot& s,
                                           base::time_point now) {
    const auto service = s.services.find(a.service);
    if (service == s.services.end()) {
        return refusal{outcome::not_run, reason::unknown_service};
    }
    const auto& kinds = service->second.kinds;
    const auto found =
        std::find_if(kinds.begin(), kinds.end(),
                     [&](const kind& k) { return covers(k, a); });
    if (found == kinds.end()) {
        return refusal{outcome::not_run, reason::unknown_kind};
    }
    if (a.deadline && a.deadline->count() <= 0) {
        return refusal{outcome::not_run, reason::bad_deadline};
    }
    const auto allowed =
        std::min(found->deadline, a.deadline.value_or(found->deadline));
    return classified_request{a.id, a.service, *found, now + allowed};
}

} // namespace pollenreel::request
