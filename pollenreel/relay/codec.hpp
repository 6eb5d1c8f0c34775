// fleet/relay_messages.hpp as HTTP messages with protobuf bodies. HTTP in
// place of ZeroMQ: linking and using libzmq takes 4.9 MB of each instance's
// memory, more than twice of what the instance has otherwise.
#pragma once

#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/http/message.hpp"

#include <optional>

namespace pollenreel::relay {

[[nodiscard]] http::request encode(const fleet::relay_request& a);
[[nodiscard]] http::response encode(const fleet::relay_response& a);
// Empty if the message is not one of these.
[[nodiscard]] std::optional<fleet::relay_request>
decode_request(const http::request& r);
[[nodiscard]] std::optional<fleet::relay_response>
decode_response(const http::response& r);

} // namespace pollenreel::relay
