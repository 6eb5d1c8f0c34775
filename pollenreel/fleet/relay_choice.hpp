// Chooses the instance of a region that watches the platform's store for the
// others: among those with the widest link, the first in rendezvous order. All
// instances with the same view choose the same one, without exchanging
// messages.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/fleet/view.hpp"

#include <string_view>
#include <vector>

namespace pollenreel::fleet {

enum class relay_role {
    alone,    // no other instance of the region takes part
    watcher,  // watches the store and is polled by the others
    follower, // polls the watcher
};

[[nodiscard]] std::string_view to_string(relay_role r);

struct relay_choice {
    relay_role role = relay_role::alone;
    base::instance_id watcher; // set for a follower
    base::endpoint endpoint;   // the watcher's relay listener

    friend bool operator==(const relay_choice&, const relay_choice&) = default;
};

// Only instances with a relay endpoint take part.
[[nodiscard]] relay_choice choose_relay(const std::vector<instance>& live,
                                        const instance& self);

} // namespace pollenreel::fleet
