// Encodes requests to have a target checked by an instance of its region, and
// their answers, as HTTP messages with protobuf bodies.
#pragma once

#include "pollenreel/http/message.hpp"
#include "pollenreel/request/attempt_messages.hpp"

#include <optional>

namespace pollenreel::relay {

[[nodiscard]] http::request encode(const request::chosen_target& asked);
[[nodiscard]] http::response encode(const request::target_check& c);
// Return nullopt for any other message.
[[nodiscard]] std::optional<request::chosen_target>
decode_check_request(const http::request& r);
[[nodiscard]] std::optional<request::target_check>
decode_check(const http::response& r);

} // namespace pollenreel::relay
