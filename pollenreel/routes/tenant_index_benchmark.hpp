// Measure `tenant_keys`: memory and look-up time of the index of keys.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::routes {

// Bytes are the same every run; times are those of this machine.
[[nodiscard]] measure::results measure_tenant_keys();

} // namespace pollenreel::routes
