#include "pollenreel/request/choose_region.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

shift::candidate make_candidate(const classified_request& request,
                                std::uint64_t request_bytes,
                                const routing::snapshot& snapshot,
                                const target_tracker& tracker,
                                base::time_point now) {
    shift::candidate candidate;
    candidate.service = request.service;
    candidate.request = request.id;
    candidate.request_bytes = request_bytes;
    candidate.own = snapshot.region;
    candidate.own_available = false;
    candidate.priority = request.kind.priority;
    const auto service = snapshot.services.find(request.service);
    if (service == snapshot.services.end()) {
        return candidate;
    }
    for (const auto& t : service->second.targets) {
        if (!t.accepts_new_work || !tracker.is_reachable(t.id, now)) {
            continue;
        }
        if (t.region == snapshot.region) {
            candidate.own_available = true;
        } else if (std::find(candidate.others.begin(), candidate.others.end(),
                             t.region) == candidate.others.end()) {
            candidate.others.push_back(t.region);
        }
    }
    if (!candidate.others.empty()) { // spreads entries over the regions
        const auto first = request.id.value() % candidate.others.size();
        std::rotate(candidate.others.begin(),
                    candidate.others.begin() +
                        static_cast<std::ptrdiff_t>(first),
                    candidate.others.end());
    }
    return candidate;
}

} // namespace

filter_result<shift::admission>
choose_region(const classified_request& request, std::uint64_t request_bytes,
              const routing::snapshot& snapshot, const target_tracker& tracker,
              shift::admission_controller& spender, base::time_point now) {
    const auto candidate =
        make_candidate(request, request_bytes, snapshot, tracker, now);
    if (!candidate.own_available && candidate.others.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    if (!spender.has_allowances()) {
        const auto& destination =
            candidate.own_available ? candidate.own : candidate.others.front();
        return shift::admission{
            request.service, destination, std::nullopt, false, {}};
    }
    auto decision = spender.decide(candidate, now);
    if (auto* admitted = std::get_if<shift::admission>(&decision)) {
        return std::move(*admitted);
    }
    return refusal{outcome::not_run, reason::overloaded};
}

} // namespace pollenreel::request
