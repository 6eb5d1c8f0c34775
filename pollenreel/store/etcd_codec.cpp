#include "pollenreel/store/etcd_codec.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace pollenreel::store::etcd {

namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

// The API writes 64-bit numbers as strings; zero may be left out.
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

std::optional<entry> first_entry(const json::object& range) {
    const auto* list = range.if_contains("kvs");
    if (list == nullptr || list->as_array().empty()) {
        return std::nullopt;
    }
    const auto& kv = list->as_array().front().as_object();
    return entry{bytes_at(kv, "key"), bytes_at(kv, "value"),
                 revision{number_at(kv, "mod_revision")}};
}

call encode_one(const read& r) {
    return {"/v3/kv/range",
            json::serialize(json::object{{"key", to_base64(r.key)}})};
}

call encode_one(const compare_and_swap& r) {
    const auto key = to_base64(r.key);
    const json::object compare{
        {"key", key},
        {"target", "MOD"},
        {"result", "EQUAL"},
        {"mod_revision", std::to_string(r.expected.value)}};
    const json::object put{
        {"request_put",
         json::object{{"key", key}, {"value", to_base64(r.value)}}}};
    const json::object get{{"request_range", json::object{{"key", key}}}};
    return {"/v3/kv/txn",
            json::serialize(json::object{{"compare", json::array{compare}},
                                         {"success", json::array{put}},
                                         {"failure", json::array{get}}})};
}

reply decode_one(const read&, const json::object& body) {
    return found{first_entry(body)};
}

reply decode_one(const compare_and_swap&, const json::object& body) {
    const auto* ok = body.if_contains("succeeded");
    if (ok != nullptr && ok->as_bool()) {
        return swapped{
            revision{number_at(body.at("header").as_object(), "revision")}};
    }
    const auto& first = body.at("responses").as_array().at(0).as_object();
    return conflicting{first_entry(first.at("response_range").as_object())};
}

} // namespace

std::string to_base64(std::string_view bytes) {
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> from_base64(std::string_view text) {
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const auto [written, read] =
        base64::decode(bytes.data(), text.data(), text.size());
    const auto rest = text.substr(read);
    if (rest.find_first_not_of('=') != std::string_view::npos) {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

call encode(const request& r) {
    return std::visit([](const auto& one) { return encode_one(one); }, r);
}

std::optional<reply> decode(const request& r, std::string_view body) {
    try {
        const auto parsed = json::parse(body);
        return std::visit(
            [&](const auto& one) {
                return decode_one(one, parsed.as_object());
            },
            r);
    } catch (const std::exception&) { // any shape that the API does not have
        return std::nullopt;
    }
}

} // namespace pollenreel::store::etcd
