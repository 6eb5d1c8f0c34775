// The measure of how the configuration spreads over real daemons.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::testing {

// 200 changes on 12 daemons on loopback, with kills and restarts among them:
// the slowest time from the command until a live daemon applies it, and
// reversions; then the store's calls at 4, 12 and 48 daemons.
[[nodiscard]] measure::results measure_in_force();

} // namespace pollenreel::testing
