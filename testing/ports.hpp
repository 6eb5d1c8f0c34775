// Free loopback ports for tests with real sockets, from a range that the
// kernel does not hand out to outgoing connections.
#pragma once

#include "pollenreel/base/endpoint.hpp"

namespace pollenreel::testing {

// A loopback address with a port that nobody listens on. Processes start at
// different places of the range, and one process gets each port once.
[[nodiscard]] base::endpoint free_endpoint();

} // namespace pollenreel::testing
