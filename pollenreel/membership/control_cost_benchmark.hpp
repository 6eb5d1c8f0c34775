// Measures `control_cost` and `control_processor`: what membership costs a
// node, at several sizes of the fleet.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::membership {

// Bytes and messages in virtual time, encoded, without TCP's and ZeroMQ's
// framing: idle, with one configuration applied by all, and with a restart.
[[nodiscard]] measure::results measure_control_cost();

// Processor time of this thread and allocated memory; wall-clock.
[[nodiscard]] measure::results measure_control_processor();

} // namespace pollenreel::membership
