// Encodes fleet/exchange_messages.hpp as HTTP messages with protobuf bodies.
#pragma once

#include "pollenreel/fleet/exchange_messages.hpp"
#include "pollenreel/http/message.hpp"

#include <optional>

namespace pollenreel::relay {

[[nodiscard]] http::request encode(const fleet::exchange_report& r);
[[nodiscard]] http::response encode(const fleet::exchange_news& n);
// Asks a hub for the sums of its region; `own` is the region that asks.
[[nodiscard]] http::request encode_sums_request(const base::region_id& own);
[[nodiscard]] http::response encode(const fleet::exchange_sums& s);
// Return nullopt for any other message.
[[nodiscard]] std::optional<fleet::exchange_report>
decode_report(const http::request& r);
[[nodiscard]] std::optional<fleet::exchange_news>
decode_news(const http::response& r);
[[nodiscard]] std::optional<base::region_id>
decode_sums_request(const http::request& r);
[[nodiscard]] std::optional<fleet::exchange_sums>
decode_sums(const http::response& r);

} // namespace pollenreel::relay
