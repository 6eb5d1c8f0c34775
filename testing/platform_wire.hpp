// The server's side of the key-value API's HTTP/JSON form: bodies of requests
// to values of pollenreel/store/messages.hpp, and replies to bodies.
#pragma once

#include "pollenreel/store/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::testing {

struct wire_answer {
    unsigned status = 200;
    std::string body;
};

// Throws std::exception for a body that this system does not send.
[[nodiscard]] store::request read_request(std::string_view path,
                                          std::string_view body);
[[nodiscard]] store::watch read_watch(std::string_view body);

[[nodiscard]] wire_answer write_reply(const store::request& asked,
                                      const store::reply& r,
                                      store::revision now_at);
// One line, with its end.
[[nodiscard]] std::string write_report(const store::watch_report& r,
                                       store::revision now_at);

} // namespace pollenreel::testing
