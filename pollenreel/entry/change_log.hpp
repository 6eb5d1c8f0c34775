// Log lines about what the instance believes of the fleet.
#pragma once

#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/log/logger.hpp"

namespace pollenreel::entry {

// One line for a change that altered, or was kept from altering, a belief.
void log_change(const log::logger& log, const fleet::change& c,
                fleet::effect e);

} // namespace pollenreel::entry
