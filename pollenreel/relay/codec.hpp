// Encodes fleet/relay_messages.hpp as HTTP messages with protobuf bodies. Uses
// HTTP instead of ZeroMQ because libzmq takes 4.9 MB of each instance's memory,
// more than twice of what the instance uses otherwise.
#pragma once

#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/message.hpp"

#include <optional>

namespace pollenreel::relay {

[[nodiscard]] http::request encode(const fleet::relay_request& a);
[[nodiscard]] http::response encode(const fleet::relay_response& a);
[[nodiscard]] http::request encode(const fleet::value_request& r);
[[nodiscard]] http::response encode(const fleet::relayed_value& v);
// Return nullopt for any other message.
[[nodiscard]] std::optional<fleet::relay_request>
decode_request(const http::request& r);
[[nodiscard]] std::optional<fleet::relay_response>
decode_response(const http::response& r);
[[nodiscard]] std::optional<fleet::value_request>
decode_fetch(const http::request& r);
[[nodiscard]] std::optional<fleet::relayed_value>
decode_fetched(const http::response& r);

} // namespace pollenreel::relay
