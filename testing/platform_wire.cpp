#include "testing/platform_wire.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/store/base64.hpp"
#include "pollenreel/store/etcd_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;

std::string text_at(const json::object& o, std::string_view key) {
    const auto* v = o.if_contains(key);
    return v == nullptr ? std::string() : json::value_to<std::string>(*v);
}

std::string bytes_at(const json::object& o, std::string_view key) {
    return store::from_base64(text_at(o, key)).value();
}

std::int64_t number_at(const json::object& o, std::string_view key) {
    const auto text = text_at(o, key);
    return text.empty() ? 0 : std::stoll(text);
}

store::lease_id lease_at(const json::object& o, std::string_view key) {
    return store::lease_id(static_cast<std::uint64_t>(number_at(o, key)));
}

store::request read_range(const json::object& body) {
    if (body.contains("range_end")) {
        return store::read_prefix{bytes_at(body, "key")};
    }
    return store::read{bytes_at(body, "key"), body.contains("keys_only")};
}

store::request read_transaction(const json::object& body) {
    const auto& compare = body.at("compare").as_array().at(0).as_object();
    const store::revision expected{number_at(compare, "mod_revision")};
    const auto& success = body.at("success").as_array().at(0).as_object();
    if (const auto* put = success.if_contains("request_put")) {
        const auto& o = put->as_object();
        return store::compare_and_swap{bytes_at(o, "key"), bytes_at(o, "value"),
                                       expected, lease_at(o, "lease")};
    }
    const auto& o = success.at("request_delete_range").as_object();
    return store::compare_and_remove{bytes_at(o, "key"), expected};
}

json::object header(store::revision now_at) {
    return {{"revision", std::to_string(now_at.value)}};
}

json::object entry_json(const store::entry& e) {
    json::object o{{"key", store::to_base64(e.key)},
                   {"value", store::to_base64(e.value)},
                   {"mod_revision", std::to_string(e.modified.value)}};
    if (e.lease != store::lease_id()) {
        o["lease"] = std::to_string(e.lease.value());
    }
    return o;
}

json::object range_json(const std::optional<store::entry>& e) {
    if (!e) {
        return {};
    }
    return {{"kvs", json::array{entry_json(*e)}}, {"count", "1"}};
}

json::object lease_json(store::lease_id id, std::chrono::seconds left) {
    return {{"ID", std::to_string(id.value())},
            {"TTL", std::to_string(left.count())}};
}

json::object reply_json(const store::found& r) {
    return range_json(r.value);
}
json::object reply_json(const store::found_all& r) {
    json::array kvs;
    for (const auto& e : r.entries) {
        kvs.emplace_back(entry_json(e));
    }
    return {{"kvs", kvs}, {"count", std::to_string(r.entries.size())}};
}
json::object reply_json(const store::swapped&) {
    return {{"succeeded", true}};
}
json::object reply_json(const store::removed&) {
    return {{"succeeded", true}};
}
json::object reply_json(const store::conflicting& r) {
    const json::object one{{"response_range", range_json(r.current)}};
    return {{"responses", json::array{one}}};
}
json::object reply_json(const store::lease_held& r) {
    return lease_json(r.lease, r.time_to_live);
}
json::object reply_json(const store::lease_revoked&) {
    return {};
}
template <class Other>
json::object reply_json(const Other&) {
    throw std::logic_error("not an answer that a store gives");
}

json::object change_json(const store::key_change& c) {
    if (c.value) {
        return {{"kv", entry_json(*c.value)}};
    }
    return {{"type", "DELETE"},
            {"kv", json::object{{"key", store::to_base64(c.key)},
                                {"mod_revision", std::to_string(c.at.value)}}}};
}

json::object report_json(const store::watch_report& r) {
    return std::visit(
        base::overloaded{
            [](const store::watch_opened&) {
                return json::object{{"created", true}};
            },
            [](const store::watch_changed& changed) {
                json::array events;
                for (const auto& c : changed.changes) {
                    events.emplace_back(change_json(c));
                }
                return json::object{{"events", events}};
            },
            [](const store::watch_compacted& c) {
                return json::object{
                    {"canceled", true},
                    {"compact_revision", std::to_string(c.oldest.value)}};
            },
            [](const store::watch_closed&) {
                return json::object{{"canceled", true}};
            },
        },
        r);
}

} // namespace

store::request read_request(std::string_view path, std::string_view body) {
    const auto parsed = json::parse(body);
    const auto& o = parsed.as_object();
    if (path == "/v3/kv/range") {
        return read_range(o);
    }
    if (path == "/v3/kv/txn") {
        return read_transaction(o);
    }
    if (path == "/v3/lease/grant") {
        return store::grant_lease{std::chrono::seconds(number_at(o, "TTL"))};
    }
    if (path == "/v3/lease/keepalive") {
        return store::keep_alive{lease_at(o, "ID")};
    }
    if (path == "/v3/lease/revoke") {
        return store::revoke_lease{lease_at(o, "ID")};
    }
    throw std::invalid_argument("unknown path");
}

store::watch read_watch(std::string_view body) {
    const auto parsed = json::parse(body);
    const auto& o = parsed.at("create_request").as_object();
    return {bytes_at(o, "key"),
            o.contains("range_end"),
            {number_at(o, "start_revision")}};
}

wire_answer write_reply(const store::request& asked, const store::reply& r,
                        store::revision now_at) {
    const bool renewal = std::holds_alternative<store::keep_alive>(asked);
    const bool gone = std::holds_alternative<store::lease_gone>(r);
    if (gone && !renewal) {
        return {404, R"({"error":"requested lease not found","code":5})"};
    }
    auto body =
        gone ? json::object()
             : std::visit([](const auto& one) { return reply_json(one); }, r);
    body["header"] = header(now_at);
    if (renewal) {
        body = {{"result", body}};
    }
    return {200, json::serialize(body)};
}

std::string write_report(const store::watch_report& r, store::revision now_at) {
    auto result = report_json(r);
    result["header"] = header(now_at);
    return json::serialize(json::object{{"result", result}}) + "\n";
}

} // namespace pollenreel::testing
