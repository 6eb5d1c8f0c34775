#include "pollenreel/fleet/relay_choice.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace pollenreel::fleet {

namespace {

using candidates = std::vector<const instance*>;

auto weight_of(const instance& i) {
    return std::pair(i.link_mbps, rendezvous_score(i.region.str(), i.id.str()));
}

// Puts the first `count` in order, of which there must be so many.
candidates::iterator rank(candidates& all, std::size_t count) {
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(all.begin(), end, all.end(),
                      [&](const auto* a, const auto* b) {
                          return weight_of(*a) > weight_of(*b);
                      });
    return end;
}

} // namespace

std::string_view to_string(relay_role r) {
    switch (r) {
    case relay_role::alone:
        return "alone";
    case relay_role::watcher:
        return "watcher";
    case relay_role::standby:
        return "standby";
    case relay_role::follower:
        break;
    }
    return "follower";
}

relay_choice choose_relay(const std::vector<instance>& live,
                          const instance& self,
                          const std::set<base::instance_id>& avoided,
                          bool is_rejected) {
    if (!self.relay_endpoint) {
        return {};
    }
    candidates others;
    for (const auto& i : live) {
        if (i.region == self.region && i.relay_endpoint && i.id != self.id) {
            others.push_back(&i);
        }
    }
    if (others.empty()) {
        return {};
    }
    const auto own_rank = static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&](const auto* i) {
            return weight_of(*i) > weight_of(self);
        }));
    if (!is_rejected && own_rank < watchers_per_region) {
        return {relay_role::watcher, {}, {}, own_rank};
    }
    const bool is_standby = !is_rejected && own_rank < relays_per_region;
    const auto role = is_standby ? relay_role::standby : relay_role::follower;
    const auto end =
        rank(others, std::min(others.size(),
                              is_standby ? own_rank : relays_per_region));
    const auto chosen = std::find_if(
        others.begin(), end, [&](auto* i) { return !avoided.contains(i->id); });
    if (chosen == end) {
        return {role, {}, {}, own_rank};
    }
    return {role, (*chosen)->id, *(*chosen)->relay_endpoint, own_rank};
}

std::vector<instance> watchers_of(const std::vector<instance>& live,
                                  const base::region_id& region) {
    candidates all;
    for (const auto& i : live) {
        if (i.region == region && i.relay_endpoint) {
            all.push_back(&i);
        }
    }
    const auto end = rank(all, std::min(all.size(), watchers_per_region));
    std::vector<instance> watchers;
    std::transform(all.begin(), end, std::back_inserter(watchers),
                   [](const auto* i) { return *i; });
    return watchers;
}

} // namespace pollenreel::fleet
