// Measure `drain`, the part of the entry instances: two of twelve leave.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::membership {

// Virtual time, from the first sign (the stop is asked for) until no look-up
// names a leaving instance, and until the last caller that keeps an answer
// for its whole time to live has used it. The baseline is what it takes when
// the instances just die.
[[nodiscard]] measure::results measure_drain();

} // namespace pollenreel::membership
