#include "pollenreel/peer/curve.hpp"

#include <zmq.h>

#include <array>

namespace pollenreel::peer {

std::optional<curve_keys> make_curve_keys() {
    constexpr std::size_t text_length = 40;
    std::array<char, text_length + 1> public_key{};
    std::array<char, text_length + 1> secret_key{};
    if (::zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
        return std::nullopt;
    }
    return curve_keys{public_key.data(), secret_key.data(), public_key.data()};
}

} // namespace pollenreel::peer
