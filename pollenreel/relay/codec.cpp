#include "pollenreel/relay/codec.hpp"

#include "proto/relay.pb.h"

#include <algorithm>
#include <variant>

namespace pollenreel::relay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view path = "/relay/changes";
constexpr std::string_view fetch_path = "/relay/value";
constexpr unsigned http_ok = 200;
// Longer durations are clamped; no configured bound is longer.
constexpr milliseconds max_wire_duration{60'000};

std::uint32_t to_wire_ms(milliseconds d) {
    return static_cast<std::uint32_t>(
        std::clamp(d, milliseconds::zero(), max_wire_duration).count());
}

std::optional<fleet::relay_status> decode_status(wire::RelayAnswer::Status s) {
    switch (s) {
    case wire::RelayAnswer::CURRENT:
        return fleet::relay_status::current;
    case wire::RelayAnswer::BEHIND:
        return fleet::relay_status::behind;
    case wire::RelayAnswer::NOT_WATCHING:
        return fleet::relay_status::not_watching;
    case wire::RelayAnswer::STORE_LOST:
        return fleet::relay_status::store_lost;
    default:
        return std::nullopt;
    }
}

wire::RelayAnswer::Status encode_status(fleet::relay_status s) {
    switch (s) {
    case fleet::relay_status::current:
        return wire::RelayAnswer::CURRENT;
    case fleet::relay_status::behind:
        return wire::RelayAnswer::BEHIND;
    case fleet::relay_status::store_lost:
        return wire::RelayAnswer::STORE_LOST;
    case fleet::relay_status::not_watching:
        break;
    }
    return wire::RelayAnswer::NOT_WATCHING;
}

void encode_change(wire::RelayedChange& to, const store::key_change& c) {
    to.set_key(c.key);
    to.set_revision(c.at.value);
    to.set_removed(!c.value);
    if (c.value) {
        to.set_value(c.value->value);
    }
}

void encode_change(wire::RelayedChange& to, const fleet::value_delta& d) {
    to.set_key(d.key);
    to.set_revision(d.steps.back().at.value);
    for (const auto& s : d.steps) {
        auto& step = *to.add_steps();
        step.set_base_revision(s.base.value);
        step.set_revision(s.at.value);
        step.set_bytes(s.bytes);
    }
}

fleet::value_delta decode_delta(const wire::RelayedChange& from) {
    fleet::value_delta d{from.key(), {}};
    d.steps.reserve(static_cast<std::size_t>(from.steps_size()));
    for (const auto& s : from.steps()) {
        d.steps.push_back({{s.base_revision()}, {s.revision()}, s.bytes()});
    }
    return d;
}

store::key_change decode_change(const wire::RelayedChange& from) {
    const store::revision at{from.revision()};
    if (from.removed()) {
        return {from.key(), at, std::nullopt};
    }
    return {from.key(), at, store::entry{from.key(), from.value(), at, {}}};
}

void encode_reference(wire::KeyReference& to, const fleet::key_reference& r) {
    to.set_key(r.key);
    to.set_revision(r.at.value);
}

} // namespace

http::request encode(const fleet::relay_request& a) {
    wire::RelayAsk message;
    message.set_known_revision(a.known_revision.value);
    message.set_wait_ms(to_wire_ms(a.max_wait));
    message.set_accepts_references(a.accepts_references);
    message.set_accepts_deltas(a.accepts_deltas);
    for (const auto& held : a.held) {
        encode_reference(*message.add_held(), held);
    }
    return {"POST", std::string(path), {}, message.SerializeAsString()};
}

http::response encode(const fleet::relay_response& a) {
    wire::RelayAnswer message;
    message.set_status(encode_status(a.status));
    message.set_seen_revision(a.seen_revision.value);
    message.set_age_ms(to_wire_ms(a.age));
    // What was confirmed longer ago is not stated: cut to the longest duration,
    // it would seem to be later.
    if (a.confirmed_after && *a.confirmed_after >= -max_wire_duration) {
        const auto after = std::min(*a.confirmed_after, max_wire_duration);
        message.set_confirmed_after_ms(
            static_cast<std::int32_t>(after.count()));
    }
    message.set_targets_restoring_ms(to_wire_ms(a.restoring_for.targets));
    message.set_instances_restoring_ms(to_wire_ms(a.restoring_for.instances));
    for (const auto& c : a.changes) {
        encode_change(*message.add_changes(), c);
    }
    for (const auto& d : a.deltas) {
        encode_change(*message.add_changes(), d);
    }
    for (const auto& r : a.references) {
        encode_reference(*message.add_references(), r);
    }
    return {http_ok, {}, message.SerializeAsString()};
}

http::request encode(const fleet::value_request& r) {
    wire::RelayFetch message;
    message.set_key(r.key);
    message.set_accepts_delta(r.accepts_delta);
    message.set_held_revision(r.held.value);
    return {"POST", std::string(fetch_path), {}, message.SerializeAsString()};
}

http::response encode(const fleet::relayed_value& v) {
    wire::RelayedChange message;
    std::visit([&](const auto& one) { encode_change(message, one); }, v);
    return {http_ok, {}, message.SerializeAsString()};
}

std::optional<fleet::value_request> decode_fetch(const http::request& r) {
    wire::RelayFetch message;
    if (r.path != fetch_path || !message.ParseFromString(r.body)) {
        return std::nullopt;
    }
    return fleet::value_request{
        message.key(), message.accepts_delta(), {message.held_revision()}};
}

std::optional<fleet::relayed_value> decode_fetched(const http::response& r) {
    wire::RelayedChange message;
    if (r.status != http_ok || !message.ParseFromString(r.body)) {
        return std::nullopt;
    }
    if (message.steps_size() > 0) {
        return decode_delta(message);
    }
    return decode_change(message);
}

std::optional<fleet::relay_request> decode_request(const http::request& r) {
    wire::RelayAsk message;
    if (r.path != path || !message.ParseFromString(r.body)) {
        return std::nullopt;
    }
    const milliseconds wait{message.wait_ms()};
    fleet::relay_request request{{message.known_revision()},
                                 std::min(wait, max_wire_duration),
                                 message.accepts_references(),
                                 message.accepts_deltas()};
    for (const auto& held : message.held()) {
        request.held.push_back({held.key(), {held.revision()}});
    }
    return request;
}

std::optional<fleet::relay_response> decode_response(const http::response& r) {
    wire::RelayAnswer message;
    if (r.status != http_ok || !message.ParseFromString(r.body)) {
        return std::nullopt;
    }
    const auto status = decode_status(message.status());
    if (!status) {
        return std::nullopt;
    }
    fleet::relay_response response{
        *status, {message.seen_revision()}, milliseconds(message.age_ms()), {}};
    const auto from_wire = [](std::uint32_t ms) {
        return std::min(milliseconds(ms), max_wire_duration);
    };
    response.restoring_for = {from_wire(message.targets_restoring_ms()),
                              from_wire(message.instances_restoring_ms())};
    response.changes.reserve(static_cast<std::size_t>(message.changes_size()));
    for (const auto& c : message.changes()) {
        if (c.steps_size() > 0) {
            response.deltas.push_back(decode_delta(c));
        } else {
            response.changes.push_back(decode_change(c));
        }
    }
    if (message.has_confirmed_after_ms()) {
        response.confirmed_after = milliseconds(message.confirmed_after_ms());
    }
    for (const auto& reference : message.references()) {
        response.references.push_back(
            {reference.key(), {reference.revision()}});
    }
    return response;
}

} // namespace pollenreel::relay
