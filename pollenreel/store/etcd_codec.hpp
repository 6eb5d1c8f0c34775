// The published HTTP/JSON form of etcd's v3 API, as far as this system uses
// it: the bodies of /v3/kv/range, /v3/kv/txn, /v3/lease/* and the lines of
// /v3/watch. Pure.
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

// Decodes the body of a 200 answer to `r`; empty when it is not one.
[[nodiscard]] std::optional<reply> decode(const request& r,
                                          std::string_view body);
// What an answer with another status says; `unanswered` when nothing sure.
[[nodiscard]] reply decode_error_status(const request& r, unsigned status);
// Decodes one line of a watch; empty when it is not one.
[[nodiscard]] std::optional<watch_report>
decode_watch_line(std::string_view line);

// First key after all keys that begin with `prefix`, as the API asks for it.
[[nodiscard]] std::string prefix_range_end(std::string prefix);

} // namespace pollenreel::store::etcd
