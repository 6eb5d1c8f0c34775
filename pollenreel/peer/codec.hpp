// Encodes and decodes the messages between instances as protobuf.
#pragma once

#include "pollenreel/peer/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::peer {

// Limit on an encoded message. A configuration fits in a store value of 1 MB;
// the rest is for framing.
constexpr std::size_t max_message_bytes = 1'200'000;

[[nodiscard]] std::string encode(const message& m);

// Returns nullopt if `bytes` is not a message or contains an invalid address.
[[nodiscard]] std::optional<message> decode(std::string_view bytes);

} // namespace pollenreel::peer
