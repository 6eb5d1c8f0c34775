#include "pollenreel/settings/schema.hpp"

#include "pollenreel/settings/values.hpp"

#include <vector>

namespace pollenreel::settings {

namespace {

constexpr std::size_t curve_key_length = 40;
constexpr std::size_t shortest_token = 16;

bool store_curve_key(std::string& to, const std::string& text) {
    to = text;
    return text.empty() || text.size() == curve_key_length;
}

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = kib * kib;
using text = const std::string&;
using rows = std::vector<key_row>;

rows instance_rows() {
    return {
        {"instance.id", "1-64 of letters, digits, - _ .", std::nullopt,
         "name of this instance, unique in the fleet",
         [](settings& s, text v) { return store_name(s.instance.id, v); }},
        {"instance.failure_domain", "1-64 of letters, digits, - _ .",
         std::nullopt, "failure domain in which this instance runs",
         [](settings& s, text v) {
             return store_name(s.instance.failure_domain, v);
         }},
        {"instance.log_level", "debug, info, warning, error", "info",
         "lowest level that is logged",
         [](settings& s, text v) {
             auto parsed = log::parse_level(v);
             if (parsed) {
                 s.instance.log_level = parsed.value();
             }
             return parsed.has_value();
         }},
    };
}

rows traffic_rows() {
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    return {
        {"traffic.listen", "IPv4:port", std::nullopt,
         "where callers reach this instance",
         [](settings& s, text v) {
             return store_endpoint(s.traffic.listen, v);
         }},
        {"traffic.threads", "1-64", "1", "threads that carry traffic",
         [](settings& s, text v) {
             return store_number(s.traffic.threads, v, 1, 64);
         }},
        {"traffic.max_header_bytes", "1024-65536", "8192",
         "largest header of a request or answer, in bytes",
         [](settings& s, text v) {
             return store_number(s.traffic.max_header_bytes, v, kib, 64 * kib);
         }},
        {"traffic.max_body_bytes", "0-67108864", "4194304",
         "largest body of a request or answer, in bytes",
         [](settings& s, text v) {
             return store_number(s.traffic.max_body_bytes, v, 0, 64 * mib);
         }},
        {"traffic.max_callers", "1-100000", "10000",
         "most caller connections of one traffic thread",
         [](settings& s, text v) {
             return store_number(s.traffic.max_callers, v, 1, 100'000);
         }},
        {"traffic.idle_timeout_ms", "100-3600000", "60000",
         "after this long without a request a caller is disconnected, in ms",
         [](settings& s, text v) {
             return store_millis(s.traffic.idle_timeout, v, milliseconds(100),
                                 minutes(60));
         }},
    };
}

rows operators_rows() {
    return {
        {"operators.listen", "IPv4:port", std::nullopt,
         "where operators reach this instance",
         [](settings& s, text v) {
             return store_endpoint(s.operators.listen, v);
         }},
        {"operators.token", "16 characters or more", std::nullopt,
         "secret that operator calls must carry",
         [](settings& s, text v) {
             s.operators.token = v;
             return v.size() >= shortest_token;
         }},
    };
}

rows peers_rows() {
    return {
        {"peers.listen", "IPv4:port", std::nullopt,
         "where the other instances reach this one",
         [](settings& s, text v) { return store_endpoint(s.peers.listen, v); }},
        {"peers.seeds", "IPv4:port, comma-separated", "",
         "instances to ask first at start",
         [](settings& s, text v) { return store_endpoints(s.peers.seeds, v); }},
        {"peers.curve_public_key", "40 characters of Z85, or empty", "",
         "CURVE public key of this instance",
         [](settings& s, text v) {
             return store_curve_key(s.peers.curve_public_key, v);
         }},
        {"peers.curve_secret_key", "40 characters of Z85, or empty", "",
         "CURVE secret key of this instance",
         [](settings& s, text v) {
             return store_curve_key(s.peers.curve_secret_key, v);
         }},
        {"peers.curve_fleet_public_key", "40 characters of Z85, or empty", "",
         "CURVE public key that every instance of the fleet presents",
         [](settings& s, text v) {
             return store_curve_key(s.peers.curve_fleet_public_key, v);
         }},
    };
}

rows store_rows() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    return {
        {"store.endpoints", "IPv4:port, comma-separated", std::nullopt,
         "the platform's key-value service",
         [](settings& s, text v) {
             return store_endpoints(s.store.endpoints, v) &&
                    !s.store.endpoints.empty();
         }},
        {"store.key_prefix", "1-64 of letters, digits, - _ .", "pollenreel",
         "first part of every key that this fleet uses",
         [](settings& s, text v) {
             base::service_id name;
             const bool allowed = store_name(name, v);
             s.store.key_prefix = v;
             return allowed;
         }},
        {"store.call_timeout_ms", "50-30000", "1000",
         "after this long a store call counts as unanswered, in ms",
         [](settings& s, text v) {
             return store_millis(s.store.call_timeout, v, milliseconds(50),
                                 seconds(30));
         }},
    };
}

rows make_schema() {
    rows all;
    for (const auto& section : {instance_rows(), traffic_rows(),
                                operators_rows(), peers_rows(), store_rows()}) {
        all.insert(all.end(), section.begin(), section.end());
    }
    return all;
}

} // namespace

std::span<const key_row> schema() {
    static const std::vector<key_row> rows = make_schema();
    return rows;
}

} // namespace pollenreel::settings
