// Measure `client_blocks`: 2.2 million blocks to 180 sites in one process.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::client_block {

// Bytes are the same every run; times are those of this machine.
[[nodiscard]] measure::results run_client_blocks();

} // namespace pollenreel::client_block
