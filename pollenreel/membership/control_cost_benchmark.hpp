// Measures `control_cost` and `control_processor`: the cost of membership per
// node, at several fleet sizes.
#pragma once

#include "pollenreel/measure/result.hpp"

namespace pollenreel::membership {

// Encoded bytes and messages in virtual time, without the framing of TCP and
// ZeroMQ: idle, with a configuration applied by all nodes, and with a restart.
[[nodiscard]] measure::results measure_control_cost();

// Processor time of this thread and allocated memory, in real time.
[[nodiscard]] measure::results measure_control_processor();

} // namespace pollenreel::membership
