// Which instance of a region watches the platform's store for the others: all
// instances with the same view pick the same one, without talking.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/fleet/view.hpp"

#include <string_view>
#include <vector>

namespace pollenreel::fleet {

enum class relay_role {
    alone,    // no other instance is known to ask, or to be asked
    watcher,  // watches the store, is asked by others
    follower, // asks the watcher
};

[[nodiscard]] std::string_view to_string(relay_role r);

struct relay_choice {
    relay_role role = relay_role::alone;
    base::instance_id watcher; // of a follower
    base::endpoint endpoint;   // where that one is asked

    friend bool operator==(const relay_choice&, const relay_choice&) = default;
};

// `self` takes part if it has a relay address.
[[nodiscard]] relay_choice choose_relay(const std::vector<instance>& live,
                                        const instance& self);

} // namespace pollenreel::fleet
