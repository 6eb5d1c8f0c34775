#include "pollenreel/request/choose_region.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

shift::candidate candidate_of(const classified& c, std::uint64_t request_bytes,
                              const routing::snapshot& s,
                              const target_book& book, base::time_point now) {
    shift::candidate one;
    one.service = c.service;
    one.request = c.id;
    one.request_bytes = request_bytes;
    one.own = s.region;
    one.own_available = false;
    one.priority = c.kind.priority;
    const auto service = s.services.find(c.service);
    if (service == s.services.end()) {
        return one;
    }
    for (const auto& t : service->second.targets) {
        if (!t.accepts_new_work || !book.reachable(t.id, now)) {
            continue;
        }
        if (t.region == s.region) {
            one.own_available = true;
        } else if (std::find(one.others.begin(), one.others.end(), t.region) ==
                   one.others.end()) {
            one.others.push_back(t.region);
        }
    }
    if (!one.others.empty()) { // entries do not all begin with the same one
        const auto first = c.id.value() % one.others.size();
        std::rotate(one.others.begin(),
                    one.others.begin() + static_cast<std::ptrdiff_t>(first),
                    one.others.end());
    }
    return one;
}

} // namespace

filtered<shift::admission>
choose_region(const classified& c, std::uint64_t request_bytes,
              const routing::snapshot& s, const target_book& book,
              shift::admission_controller& spender, base::time_point now) {
    const auto one = candidate_of(c, request_bytes, s, book, now);
    if (!one.own_available && one.others.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    if (!spender.has_allowances()) {
        const auto& to = one.own_available ? one.own : one.others.front();
        return shift::admission{c.service, to, std::nullopt, false, {}};
    }
    auto d = spender.decide(one, now);
    if (auto* go = std::get_if<shift::admission>(&d)) {
        return std::move(*go);
    }
    return refusal{outcome::not_run, reason::overloaded};
}

} // namespace pollenreel::request
