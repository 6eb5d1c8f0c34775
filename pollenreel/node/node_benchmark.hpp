// Wall-clock measures of one traffic thread on loopback.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::node {

// Look-ups at a paced rate: p99 at the stated rate, and look-ups a second of
// one core's time.
[[nodiscard]] measure::results measure_lookup();

// What the system adds to a request, against the same request sent directly.
[[nodiscard]] measure::results measure_path_cost();

} // namespace pollenreel::node
