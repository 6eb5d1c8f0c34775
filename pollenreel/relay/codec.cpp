#include "pollenreel/relay/codec.hpp"

#include "proto/relay.pb.h"

#include <algorithm>

namespace pollenreel::relay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view path = "/relay/changes";
constexpr unsigned http_ok = 200;
// Of a message that says more; no bound of the users is longer.
constexpr milliseconds longest_wait{60'000};

std::uint32_t count_ms(milliseconds d) {
    return static_cast<std::uint32_t>(
        std::clamp(d, milliseconds::zero(), longest_wait).count());
}

std::optional<fleet::relay_status> status_of(wire::RelayAnswer::Status s) {
    switch (s) {
    case wire::RelayAnswer::CURRENT:
        return fleet::relay_status::current;
    case wire::RelayAnswer::BEHIND:
        return fleet::relay_status::behind;
    case wire::RelayAnswer::NOT_WATCHING:
        return fleet::relay_status::not_watching;
    default:
        return std::nullopt;
    }
}

wire::RelayAnswer::Status wire_status(fleet::relay_status s) {
    switch (s) {
    case fleet::relay_status::current:
        return wire::RelayAnswer::CURRENT;
    case fleet::relay_status::behind:
        return wire::RelayAnswer::BEHIND;
    case fleet::relay_status::not_watching:
        break;
    }
    return wire::RelayAnswer::NOT_WATCHING;
}

store::key_change read(const wire::RelayedChange& from) {
    const store::revision at{from.revision()};
    if (from.removed()) {
        return {from.key(), at, std::nullopt};
    }
    return {from.key(), at, store::entry{from.key(), from.value(), at, {}}};
}

} // namespace

http::request encode(const fleet::relay_request& a) {
    wire::RelayAsk ask;
    ask.set_known_revision(a.known_revision.value);
    ask.set_wait_ms(count_ms(a.max_wait));
    return {"POST", std::string(path), {}, ask.SerializeAsString()};
}

http::response encode(const fleet::relay_response& a) {
    wire::RelayAnswer answer;
    answer.set_status(wire_status(a.status));
    answer.set_seen_revision(a.seen_revision.value);
    answer.set_age_ms(count_ms(a.age));
    for (const auto& c : a.changes) {
        auto& one = *answer.add_changes();
        one.set_key(c.key);
        one.set_revision(c.at.value);
        one.set_removed(!c.value);
        if (c.value) {
            one.set_value(c.value->value);
        }
    }
    return {http_ok, {}, answer.SerializeAsString()};
}

std::optional<fleet::relay_request> decode_ask(const http::request& r) {
    wire::RelayAsk ask;
    if (r.path != path || !ask.ParseFromString(r.body)) {
        return std::nullopt;
    }
    const milliseconds wait{ask.wait_ms()};
    return fleet::relay_request{{ask.known_revision()},
                                std::min(wait, longest_wait)};
}

std::optional<fleet::relay_response> decode_answer(const http::response& r) {
    wire::RelayAnswer answer;
    if (r.status != http_ok || !answer.ParseFromString(r.body)) {
        return std::nullopt;
    }
    const auto status = status_of(answer.status());
    if (!status) {
        return std::nullopt;
    }
    fleet::relay_response a{
        *status, {answer.seen_revision()}, milliseconds(answer.age_ms()), {}};
    a.changes.reserve(static_cast<std::size_t>(answer.changes_size()));
    for (const auto& c : answer.changes()) {
        a.changes.push_back(read(c));
    }
    return a;
}

} // namespace pollenreel::relay
