#include "pollenreel/request/classify.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using declarations::kind;

bool matches(const kind& declared, const incoming_request& request) {
    if (request.kind) {
        return declared.id == *request.kind;
    }
    return std::find(declared.methods.begin(), declared.methods.end(),
                     request.method) != declared.methods.end();
}

} // namespace

filter_result<classified_request> classify(const incoming_request& request,
                                           const routing::snapshot& snapshot,
                                           base::time_point now) {
    const auto service = snapshot.services.find(request.service);
    if (service == snapshot.services.end()) {
        return refusal{outcome::not_run, reason::unknown_service};
    }
    const auto& kinds = service->second.kinds;
    const auto found =
        std::find_if(kinds.begin(), kinds.end(), [&](const kind& declared) {
            return matches(declared, request);
        });
    if (found == kinds.end()) {
        return refusal{outcome::not_run, reason::unknown_kind};
    }
    if (request.deadline && request.deadline->count() <= 0) {
        return refusal{outcome::not_run, reason::bad_deadline};
    }
    const auto timeout =
        std::min(found->deadline, request.deadline.value_or(found->deadline));
    return classified_request{request.id, request.service, *found,
                              now + timeout};
}

} // namespace pollenreel::request
