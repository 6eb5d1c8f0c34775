// A TCP address by number, as it stands in settings and declarations.
//
//   auto e = base::parse_endpoint("127.0.0.1:8080");
#pragma once

#include "pollenreel/base/failure.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenreel::base {

struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    // "host:port".
    [[nodiscard]] std::string str() const;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Fails with std::errc::invalid_argument unless `text` is "IPv4:port" with a
// port of 1..65535.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

} // namespace pollenreel::base
