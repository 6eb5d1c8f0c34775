// Encodes and decodes the HTTP/JSON form of etcd's v3 API as far as it is used:
// the bodies of /v3/kv/range, /v3/kv/txn, /v3/lease/* and the lines of
// /v3/watch. Performs no I/O.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/store/messages.hpp"

#include <string>
#include <string_view>

namespace pollenreel::store::etcd {

struct call {
    std::string path;
    std::string body;
};

[[nodiscard]] call encode(const request& r);
[[nodiscard]] call encode(const watch& w);

// Decodes the body of a response with status 200 to `r`. Returns nullopt if the
// body is malformed.
[[nodiscard]] std::optional<reply> decode(const request& r,
                                          std::string_view body);
// Decodes any other status in response to `r`. Returns `unanswered` if the
// outcome is unknown.
[[nodiscard]] reply decode_error_status(const request& r, unsigned status);
// Decodes one line of a watch. Returns nullopt if the line is malformed.
[[nodiscard]] std::optional<watch_report>
decode_watch_line(std::string_view line);

// Returns the first key after all keys with `prefix`, as the API's range_end.
[[nodiscard]] std::string prefix_range_end(std::string prefix);

} // namespace pollenreel::store::etcd
