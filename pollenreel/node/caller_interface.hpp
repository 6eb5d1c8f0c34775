// Turns callers' HTTP requests into events of the request core and look-ups,
// and refusals into answers. Pure.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/http/message.hpp"
#include "pollenreel/lookup/table.hpp"
#include "pollenreel/request/types.hpp"

#include <string>
#include <variant>

namespace pollenreel::node {

struct lookup_call {
    base::service_id service;
    std::variant<lookup::caller_address, base::failure_domain_id> from;
};
struct service_call {
    request::incoming_request arrival;
    std::string path; // as the target sees it
};
struct health_call {};
struct bad_call {
    unsigned status = 400;
    std::string why;
};
using caller_call =
    std::variant<lookup_call, service_call, health_call, bad_call>;

[[nodiscard]] caller_call read_call(const http::request& r,
                                    base::request_id id);

// The request that a target gets for a caller's request `r`.
[[nodiscard]] http::request to_target(const http::request& r, std::string path,
                                      const std::string& request_id,
                                      std::chrono::milliseconds time_left);

// The target's answer as the caller gets it.
[[nodiscard]] http::response to_caller(http::response from_target);

[[nodiscard]] http::response refusal_answer(const request::refusal& r);
[[nodiscard]] http::response bad_call_answer(const bad_call& b);

} // namespace pollenreel::node
