// A caller on a plain socket: writes bytes as they are and reads the response
// with response_reader, also while it still writes.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "testing/response_reader.hpp"

#include <chrono>
#include <string>

namespace pollenreel::testing {

struct raw_answer {
    response_reading reading;
    stream_state state = stream_state::open; // when reading ended
};

// Connects, sends `request` of that method and reads until there is a whole
// response, until the bytes can be none, until the connection ends, or for
// `timeout`. Closes the connection.
[[nodiscard]] raw_answer call_raw(const base::endpoint& to,
                                  const std::string& request,
                                  std::string_view method,
                                  std::chrono::milliseconds timeout);

} // namespace pollenreel::testing
