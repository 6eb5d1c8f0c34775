// The keys with which instances of one fleet know each other (CURVE; RFC 26 of
// ZeroMQ). All instances of a fleet hold the same pair: who does not is
// refused before any of his messages is read.
//
//   auto keys = peer::make_curve_keys();
#pragma once

#include <optional>
#include <string>

namespace pollenreel::peer {

// Z85 text of 40 characters each.
struct curve_keys {
    std::string public_key;
    std::string secret_key;
    std::string fleet_public_key;
};

// A new pair; `fleet_public_key` is the public one. Empty when libzmq was
// built without CURVE.
[[nodiscard]] std::optional<curve_keys> make_curve_keys();

} // namespace pollenreel::peer
