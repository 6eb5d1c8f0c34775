// The published HTTP/JSON form of etcd's v3 API, as far as this system uses
// it: the bodies of /v3/kv/range and /v3/kv/txn. Pure.
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

// Decodes the body of a 200 answer to `r`; empty when it is not one.
[[nodiscard]] std::optional<reply> decode(const request& r,
                                          std::string_view body);

// Base64 as the API uses it for keys and values.
[[nodiscard]] std::string to_base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace pollenreel::store::etcd
