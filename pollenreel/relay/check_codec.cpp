#include "pollenreel/relay/check_codec.hpp"

#include "proto/relay.pb.h"

#include <algorithm>
#include <string_view>

namespace pollenreel::relay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view check_path = "/check";
constexpr unsigned http_ok = 200;
constexpr std::uint32_t max_port = 65'535;
// Longer durations are clamped; targets are cold for seconds.
constexpr milliseconds max_wire_duration{600'000};

} // namespace

http::request encode(const request::chosen_target& asked) {
    wire::TargetCheckAsk message;
    message.set_target(asked.id.str());
    message.set_host(asked.address.host);
    message.set_port(asked.address.port);
    http::request r;
    r.method = "POST";
    r.path = check_path;
    r.body = message.SerializeAsString();
    return r;
}

http::response encode(const request::target_check& c) {
    wire::TargetCheckAnswer message;
    message.set_cold_ms(static_cast<std::uint32_t>(
        std::clamp(c.cold_for, milliseconds::zero(), max_wire_duration)
            .count()));
    message.set_wrong_target(c.wrong_target);
    return {http_ok, {}, message.SerializeAsString()};
}

std::optional<request::chosen_target>
decode_check_request(const http::request& r) {
    wire::TargetCheckAsk message;
    if (r.path != check_path || !message.ParseFromString(r.body) ||
        message.port() > max_port) {
        return std::nullopt;
    }
    return request::chosen_target{
        base::target_id(message.target()),
        {message.host(), static_cast<std::uint16_t>(message.port())}};
}

std::optional<request::target_check> decode_check(const http::response& r) {
    wire::TargetCheckAnswer message;
    if (r.status != http_ok || !message.ParseFromString(r.body)) {
        return std::nullopt;
    }
    return request::target_check{
        true, std::min(milliseconds(message.cold_ms()), max_wire_duration),
        message.wrong_target()};
}

} // namespace pollenreel::relay
