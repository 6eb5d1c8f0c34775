#include "pollenreel/store/etcd_codec.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/store/base64.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace pollenreel::store::etcd {

namespace {

namespace json = boost::json;

// The API encodes 64-bit integers as strings and may omit zero.
std::int64_t number_at(const json::object& o, std::string_view key) {
    const auto* v = o.if_contains(key);
    if (v == nullptr) {
        return 0;
    }
    if (const auto* s = v->if_string()) {
        return std::stoll(std::string(*s));
    }
    return v->to_number<std::int64_t>();
}

std::string bytes_at(const json::object& o, std::string_view key) {
    const auto* v = o.if_contains(key);
    if (v == nullptr) {
        return {};
    }
    return from_base64(json::value_to<std::string>(*v)).value();
}

revision revision_at(const json::object& o, std::string_view key) {
    return {number_at(o, key)};
}

revision header_revision(const json::object& body) {
    const auto* header = body.if_contains("header");
    return header == nullptr ? revision{}
                             : revision_at(header->as_object(), "revision");
}

lease_id lease_at(const json::object& o, std::string_view key) {
    return lease_id(static_cast<std::uint64_t>(number_at(o, key)));
}

std::string lease_text(lease_id lease) {
    return std::to_string(lease.value());
}

entry decode_entry(const json::object& kv) {
    return {bytes_at(kv, "key"), bytes_at(kv, "value"),
            revision_at(kv, "mod_revision"), lease_at(kv, "lease")};
}

std::vector<entry> decode_entries(const json::object& range) {
    std::vector<entry> all;
    if (const auto* list = range.if_contains("kvs")) {
        for (const auto& kv : list->as_array()) {
            all.push_back(decode_entry(kv.as_object()));
        }
    }
    return all;
}

std::optional<entry> decode_first_entry(const json::object& range) {
    auto all = decode_entries(range);
    if (all.empty()) {
        return std::nullopt;
    }
    return std::move(all.front());
}

call encode_request(const read& r) {
    json::object body{{"key", to_base64(r.key)}};
    if (r.keys_only) {
        body["keys_only"] = true;
    }
    return {"/v3/kv/range", json::serialize(body)};
}

call encode_request(const read_prefix& r) {
    return {"/v3/kv/range",
            json::serialize(json::object{
                {"key", to_base64(r.prefix)},
                {"range_end", to_base64(prefix_range_end(r.prefix))}})};
}

// Applies `operation` if `key` was last modified at `expected`, else reads the
// key.
call transaction(const std::string& key, revision expected,
                 const json::object& operation) {
    const auto encoded = to_base64(key);
    const json::object compare{
        {"key", encoded},
        {"target", "MOD"},
        {"result", "EQUAL"},
        {"mod_revision", std::to_string(expected.value)}};
    const json::object get{{"request_range", json::object{{"key", encoded}}}};
    return {"/v3/kv/txn",
            json::serialize(json::object{{"compare", json::array{compare}},
                                         {"success", json::array{operation}},
                                         {"failure", json::array{get}}})};
}

call encode_request(const compare_and_swap& r) {
    json::object put{{"key", to_base64(r.key)}, {"value", to_base64(r.value)}};
    if (r.lease != lease_id()) {
        put["lease"] = lease_text(r.lease);
    }
    return transaction(r.key, r.expected, {{"request_put", put}});
}

call encode_request(const compare_and_remove& r) {
    const json::object remove{{"key", to_base64(r.key)}};
    return transaction(r.key, r.expected, {{"request_delete_range", remove}});
}

call encode_request(const grant_lease& r) {
    return {"/v3/lease/grant",
            json::serialize(
                json::object{{"TTL", std::to_string(r.time_to_live.count())}})};
}

call encode_request(const keep_alive& r) {
    return {"/v3/lease/keepalive",
            json::serialize(json::object{{"ID", lease_text(r.lease)}})};
}

call encode_request(const revoke_lease& r) {
    return {"/v3/lease/revoke",
            json::serialize(json::object{{"ID", lease_text(r.lease)}})};
}

reply decode_reply(const read&, const json::object& body) {
    return found{decode_first_entry(body), header_revision(body)};
}

reply decode_reply(const read_prefix&, const json::object& body) {
    return found_all{decode_entries(body), header_revision(body)};
}

bool is_success(const json::object& body) {
    const auto* ok = body.if_contains("succeeded");
    return ok != nullptr && ok->as_bool();
}

reply decode_conflict(const json::object& body) {
    const auto& first = body.at("responses").as_array().at(0).as_object();
    return conflicting{
        decode_first_entry(first.at("response_range").as_object())};
}

reply decode_reply(const compare_and_swap&, const json::object& body) {
    if (is_success(body)) {
        (void)body.at("header");
        return swapped{header_revision(body)};
    }
    return decode_conflict(body);
}

reply decode_reply(const compare_and_remove&, const json::object& body) {
    if (is_success(body)) {
        return removed{header_revision(body)};
    }
    return decode_conflict(body);
}

reply decode_lease(const json::object& body) {
    const std::chrono::seconds left(number_at(body, "TTL"));
    if (left.count() <= 0) {
        return lease_gone{};
    }
    return lease_held{lease_at(body, "ID"), left};
}

reply decode_reply(const grant_lease&, const json::object& body) {
    (void)body.at("ID");
    return decode_lease(body);
}

reply decode_reply(const keep_alive&, const json::object& body) {
    return decode_lease(body.at("result").as_object());
}

reply decode_reply(const revoke_lease&, const json::object& body) {
    (void)body.at("header");
    return lease_revoked{};
}

key_change decode_change(const json::object& event) {
    const auto& kv = event.at("kv").as_object();
    key_change change{bytes_at(kv, "key"), revision_at(kv, "mod_revision"), {}};
    const auto* type = event.if_contains("type");
    if (type == nullptr || type->as_string() == "PUT") {
        change.value = decode_entry(kv);
    }
    return change;
}

// The API may omit a flag that is false.
bool flag_at(const json::object& o, std::string_view key) {
    const auto* v = o.if_contains(key);
    return v != nullptr && v->as_bool();
}

watch_report decode_report(const json::object& result) {
    if (const auto oldest = revision_at(result, "compact_revision");
        oldest != revision{}) {
        return watch_compacted{oldest};
    }
    if (flag_at(result, "canceled")) {
        return watch_closed{};
    }
    if (flag_at(result, "created")) {
        return watch_opened{};
    }
    watch_changed changed;
    if (const auto* list = result.if_contains("events")) {
        for (const auto& e : list->as_array()) {
            changed.changes.push_back(decode_change(e.as_object()));
        }
    }
    return changed;
}

} // namespace

call encode(const request& r) {
    return std::visit(
        [](const auto& alternative) { return encode_request(alternative); }, r);
}

std::string prefix_range_end(std::string prefix) {
    constexpr char last = '\xff';
    while (!prefix.empty() && prefix.back() == last) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1,
                           '\0'); // means "to the end of all keys" in the API
    }
    ++prefix.back();
    return prefix;
}

call encode(const watch& w) {
    json::object create{{"key", to_base64(w.key)},
                        {"start_revision", std::to_string(w.from.value)}};
    if (w.prefix) {
        create["range_end"] = to_base64(prefix_range_end(w.key));
    }
    return {"/v3/watch",
            json::serialize(json::object{{"create_request", create}})};
}

reply decode_error_status(const request& r, unsigned status) {
    constexpr unsigned not_found = 404;
    if (status != not_found) {
        return unanswered{};
    }
    if (std::holds_alternative<revoke_lease>(r)) {
        return lease_revoked{};
    }
    const auto* swap = std::get_if<compare_and_swap>(&r);
    const bool has_lease = std::holds_alternative<keep_alive>(r) ||
                           (swap != nullptr && swap->lease != lease_id());
    return has_lease ? reply(lease_gone{}) : reply(unanswered{});
}

std::optional<watch_report> decode_watch_line(std::string_view line) {
    try {
        const auto parsed = json::parse(line);
        return decode_report(parsed.at("result").as_object());
    } catch (const std::exception&) { // any shape that the API does not have
        return std::nullopt;
    }
}

std::optional<reply> decode(const request& r, std::string_view body) {
    try {
        const auto parsed = json::parse(body);
        return std::visit(
            [&](const auto& one) {
                return decode_reply(one, parsed.as_object());
            },
            r);
    } catch (const std::exception&) { // any shape that the API does not have
        return std::nullopt;
    }
}

} // namespace pollenreel::store::etcd
