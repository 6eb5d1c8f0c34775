// Benchmarks of caps and headroom, in virtual time on simulated targets.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::shift {

// Measures a shift under its cap: windows that exceed the cap, with and without
// faults, and its duration relative to an ideal shift with perfect knowledge.
[[nodiscard]] measure::results measure_cap();
// Measures the failure of a region at 60% load.
[[nodiscard]] measure::results measure_headroom();

} // namespace pollenreel::shift
