// HTTP messages as plain values, so that only this library's sources meet
// Boost.Beast.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::http {

struct header {
    std::string name;
    std::string value;
};
using headers = std::vector<header>;

// The value of the first header called `name` (case-insensitive).
[[nodiscard]] std::optional<std::string_view> find(const headers& in,
                                                   std::string_view name);

// Drops headers that belong to one connection (RFC 9110, section 7.6.1),
// those that its Connection header names, and those that the sending side
// writes itself.
void drop_connection_headers(headers& from);

struct request {
    std::string method = "GET";
    std::string path = "/"; // with the query
    http::headers headers;
    std::string body;
    // Servers fill these in.
    std::uint32_t caller_address = 0; // IPv4, host order
    std::uint16_t caller_port = 0;
    // Between the end of the header and that of the body.
    std::chrono::milliseconds body_time{0};
};

struct response {
    unsigned status = 200;
    http::headers headers;
    std::string body;
};

struct limits {
    std::uint32_t header_bytes = 8 * 1024;
    std::uint64_t body_bytes = 4ULL * 1024 * 1024;
};

} // namespace pollenreel::http
