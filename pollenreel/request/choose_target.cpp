#include "pollenreel/request/choose_target.hpp"

#include <algorithm>
#include <vector>

namespace pollenreel::request {

namespace {

using candidates = std::vector<const routing::target*>;

// Keeps the candidates that `near` accepts, or all when it accepts none.
template <class Near>
candidates prefer(const candidates& from, Near near) {
    candidates kept;
    std::copy_if(from.begin(), from.end(), std::back_inserter(kept),
                 [&](const auto* t) { return near(*t); });
    return kept.empty() ? from : kept;
}

candidates usable(const routing::service& service,
                  std::span<const base::target_id> tried) {
    candidates kept;
    for (const auto& t : service.targets) {
        const bool again =
            std::find(tried.begin(), tried.end(), t.id) != tried.end();
        if (t.accepts_new_work && !again) {
            kept.push_back(&t);
        }
    }
    return kept;
}

std::uint32_t count_of(const in_flight_counts& counts,
                       const base::target_id& id) {
    const auto found = counts.find(id);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

filtered<choice>
choose_target(const classified& c, const base::region_id& region,
              const routing::snapshot& s, const in_flight_counts& in_flight,
              std::span<const base::target_id> tried, base::random& random) {
    const auto service = s.services.find(c.service);
    if (service == s.services.end()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    auto among = usable(service->second, tried);
    if (among.empty()) {
        return refusal{outcome::not_run, reason::no_target};
    }
    among = prefer(among, [&](const auto& t) { return t.region == region; });
    const auto* first = among[random.below(among.size())];
    const auto* second = among[random.below(among.size())];
    const bool second_is_freer =
        count_of(in_flight, second->id) < count_of(in_flight, first->id);
    const auto* chosen = second_is_freer ? second : first;
    return choice{chosen->id, chosen->address};
}

} // namespace pollenreel::request
