// Reads HTTP/1.1 responses from plain bytes, by the grammar of RFC 9110 and
// RFC 9112. Shares no code with the product, so that a caller made with it does
// not repeat the product's mistakes.
//
//   const auto r = testing::read_response(bytes, "GET", stream_state::open);
//   if (const auto* whole = std::get_if<testing::whole_response>(&r)) ...
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pollenreel::testing {

// Of the connection on which the bytes came.
enum class stream_state {
    open,
    closed, // in order
    reset,  // or given up for any other reason
};

struct whole_response {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::size_t size = 0; // in bytes, with interim responses before it

    // The value of the first field called `name` (case-insensitive), or "".
    [[nodiscard]] std::string_view field(std::string_view name) const;
};
// The bytes are the beginning of a response, or none yet.
struct unfinished_response {};
// No continuation makes the bytes a response.
struct invalid_response {
    std::string why;
};
using response_reading =
    std::variant<whole_response, unfinished_response, invalid_response>;

// Reads the response to a request of that method, past interim ones.
[[nodiscard]] response_reading
read_response(std::string_view bytes, std::string_view method, stream_state s);

} // namespace pollenreel::testing
