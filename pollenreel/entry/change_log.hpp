// Log lines about what the instance believes of the fleet.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/fleet/follower.hpp"
#include "pollenreel/log/logger.hpp"

#include <chrono>

namespace pollenreel::entry {

// Where a change came from.
struct change_origin {
    fleet::change_source source{};
    // Since the store last confirmed the state before this change.
    std::chrono::milliseconds previous_contact_age{};
    store::revision at; // of the change
    // What it took to read the change's value.
    std::chrono::milliseconds decode_time{};
    // Since it became known that the key had changed.
    std::chrono::milliseconds transfer_time{};
};

// One line for a change that altered, or was kept from altering, a belief.
void log_change(const log::logger& log, const fleet::change& c, fleet::effect e,
                const change_origin& origin);

} // namespace pollenreel::entry
