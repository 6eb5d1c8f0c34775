// What callers and targets speak, as the entry instance sees it: an adapter
// turns their messages into the types below and back, and decides nothing.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/http/message.hpp"
#include "pollenreel/request/attempt.hpp"
#include "pollenreel/request/attempt_messages.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenreel::entry {

// A request to be carried to a target.
struct carried_request {
    dispatch::arrival arrival;
    std::string caller_id; // the caller's own id of this attempt
};
// A caller asks which instances to use.
struct lookup_request {
    base::region_id region;
    base::failure_domain_id failure_domain;
    std::string host; // that it will send requests to; may be empty
};
struct bad_request {
    std::string why;
};
struct readiness_request {};

class protocol {
public:
    protocol() = default;
    protocol(const protocol&) = delete;
    protocol& operator=(const protocol&) = delete;
    virtual ~protocol() = default;

    // On the callers' listener.
    [[nodiscard]] virtual carried_request
    read_request(const http::request& r, base::request_id id) const = 0;
    [[nodiscard]] virtual http::request
    to_target(const http::request& r, const base::target_id& target,
              std::chrono::milliseconds time_left,
              const dispatch::caller_identity& caller) const = 0;
    // `caller_id`: of the request that was sent.
    [[nodiscard]] virtual request::response_info
    read_answer(const http::response& r, std::string_view caller_id) const = 0;
    // An answer on a health path. `expected`: the target that was asked.
    [[nodiscard]] virtual request::target_check
    read_check(const http::response& r,
               const base::target_id& expected) const = 0;
    [[nodiscard]] virtual http::response
    to_caller(http::response from_target) const = 0;
    [[nodiscard]] virtual http::response
    refusal(const dispatch::refuse& r) const = 0;

    // On the directory's and the readiness listener.
    [[nodiscard]] virtual std::variant<lookup_request, bad_request>
    read_lookup(const http::request& r) const = 0;
    [[nodiscard]] virtual http::response
    lookup_answer(const std::vector<base::endpoint>& instances,
                  std::chrono::milliseconds time_to_live) const = 0;
    [[nodiscard]] virtual std::variant<readiness_request, bad_request>
    read_readiness(const http::request& r) const = 0;
};

} // namespace pollenreel::entry
