// Keys that authenticate the instances of a fleet to each other (CURVE, ZeroMQ
// RFC 26). All instances of a fleet hold the same key pair; a peer without it
// is refused before any of its messages is read.
//
//   auto keys = peer::make_curve_keys();
#pragma once

#include <optional>
#include <string>

namespace pollenreel::peer {

// Each key is Z85 text of 40 characters.
struct curve_keys {
    std::string public_key;
    std::string secret_key;
    std::string fleet_public_key;
};

// Returns a new key pair, with `fleet_public_key` set to its public key, or
// nullopt if libzmq was built without CURVE.
[[nodiscard]] std::optional<curve_keys> make_curve_keys();

} // namespace pollenreel::peer
