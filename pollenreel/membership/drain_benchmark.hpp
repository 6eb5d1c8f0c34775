// Measures `drain` for the entry instances: two of twelve leave.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::membership {

// Virtual time from the request to stop until no look-up returns a leaving
// instance, and until the last answer that a caller keeps for its whole time to
// live has expired. The baseline is the same time for instances that crash.
[[nodiscard]] measure::results measure_drain();

} // namespace pollenreel::membership
