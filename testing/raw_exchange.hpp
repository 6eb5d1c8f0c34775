// Bytes on a plain loopback connection, for tests of what a listener does with
// anything at all.
#pragma once

#include "pollenreel/base/endpoint.hpp"

#include <string>

namespace pollenreel::testing {

// Connects, sends `bytes`, closes the sending side and returns everything
// that comes back until the other side closes.
[[nodiscard]] std::string raw_exchange(const base::endpoint& to,
                                       const std::string& bytes);

} // namespace pollenreel::testing
