// The measure of how the configuration spreads, in virtual time.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::feed {

// Time until every instance applies a change, bytes of a node and calls of
// the store, at 12, 48 and 1,305 instances, with and without loss of
// messages. Baseline: each instance reads the store each second.
[[nodiscard]] measure::results measure_in_force_virtual();

} // namespace pollenreel::feed
