// The measures of caps and headroom, in virtual time on fake targets.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::shift {

// A shift under its cap: windows exceeded with and without faults, and how
// long it takes against a mover that knows everything at once.
[[nodiscard]] measure::results measure_cap();
// A region fails at 60% load.
[[nodiscard]] measure::results measure_headroom();
// Store calls and messages between instances against the size of the fleet.
[[nodiscard]] measure::results measure_share_cost();

} // namespace pollenreel::shift
