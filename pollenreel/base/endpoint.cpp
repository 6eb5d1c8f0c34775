#include "pollenreel/base/endpoint.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace pollenreel::base {

namespace {

failure not_an_endpoint(std::string_view text) {
    return {std::make_error_code(std::errc::invalid_argument),
            "'" + std::string(text) + "' is not IPv4:port"};
}

} // namespace

std::string endpoint::str() const {
    return host + ":" + std::to_string(port);
}

result<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return not_an_endpoint(text);
    }
    endpoint parsed;
    parsed.host = std::string(text.substr(0, colon));
    boost::system::error_code bad_address;
    boost::asio::ip::make_address_v4(parsed.host, bad_address);
    const auto digits = text.substr(colon + 1);
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, parsed.port);
    const bool whole = read.ec == std::errc() && read.ptr == end;
    if (bad_address || !whole || parsed.port == 0) {
        return not_an_endpoint(text);
    }
    return parsed;
}

} // namespace pollenreel::base
