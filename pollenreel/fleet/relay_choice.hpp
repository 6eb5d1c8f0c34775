// Chooses the instances of a region that watch the platform's store for the
// others: those with the widest links, in rendezvous order where links are
// equal. There are two, so that the second can take over from a first that
// dies, stalls or is overloaded. The next ones stand by: they watch the store
// once both watchers fail, before the others give these up. All instances with
// the same view choose the same ones, without exchanging messages.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <set>
#include <string_view>
#include <vector>

namespace pollenreel::fleet {

constexpr std::size_t watchers_per_region = 2;
// Watchers and standbys. With a third of them rejected by the store, one
// instance in 700 finds none that is not.
constexpr std::size_t relays_per_region = 6;

enum class relay_role {
    alone,    // no other instance of the region takes part
    watcher,  // watches the store and is polled by the others
    standby,  // polls a watcher; watches the store while both fail
    follower, // polls a watcher, or a standby
};

[[nodiscard]] std::string_view to_string(relay_role r);

struct relay_choice {
    relay_role role = relay_role::alone;
    // The relay to poll; set for a standby or follower, unless all are to be
    // avoided.
    base::instance_id watcher;
    base::endpoint endpoint; // the watcher's relay listener
    // Of this instance among those of its region, from 0.
    std::size_t rank = 0;

    // Whether the same relay is polled in the same role.
    friend bool operator==(const relay_choice& a, const relay_choice& b) {
        return a.role == b.role && a.watcher == b.watcher &&
               a.endpoint == b.endpoint;
    }
};

// Only instances with a relay endpoint take part. Each polls the first relay
// that is not in `avoided`, a standby only those that rank before it. If the
// store rejects this instance, it is a follower.
[[nodiscard]] relay_choice
choose_relay(const std::vector<instance>& live, const instance& self,
             const std::set<base::instance_id>& avoided = {},
             bool is_rejected = false);

// The watchers of a region by a view, first one first. Of equal views all
// instances get the same result, whichever region is their own.
[[nodiscard]] std::vector<instance>
watchers_of(const std::vector<instance>& live, const base::region_id& region);

} // namespace pollenreel::fleet
