#include "pollenreel/fleet/relay_choice.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <utility>

namespace pollenreel::fleet {

std::string_view to_string(relay_role r) {
    switch (r) {
    case relay_role::alone:
        return "alone";
    case relay_role::watcher:
        return "watcher";
    case relay_role::follower:
        break;
    }
    return "follower";
}

relay_choice choose_relay(const std::vector<instance>& live,
                          const instance& self) {
    if (!self.relay_endpoint) {
        return {};
    }
    const auto rank = [&](const instance& i) {
        return std::pair(i.link_mbps,
                         rendezvous_score(self.region.str(), i.id.str()));
    };
    const instance* best = &self;
    std::size_t others = 0;
    for (const auto& i : live) {
        if (i.region != self.region || !i.relay_endpoint || i.id == self.id) {
            continue;
        }
        ++others;
        best = rank(i) > rank(*best) ? &i : best;
    }
    if (others == 0) {
        return {};
    }
    if (best == &self) {
        return {relay_role::watcher, {}, {}};
    }
    return {relay_role::follower, best->id, *best->relay_endpoint};
}

} // namespace pollenreel::fleet
