// Protobuf form of the messages between instances.
#pragma once

#include "pollenreel/peer/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::peer {

// Largest message on the wire, in bytes. A configuration fits in a store
// value of a megabyte; the rest is for framing.
constexpr std::size_t max_message_bytes = 1'200'000;

[[nodiscard]] std::string encode(const message& m);

// Empty when `bytes` is not a message or names an impossible address.
[[nodiscard]] std::optional<message> decode(std::string_view bytes);

} // namespace pollenreel::peer
