// Turns operators' HTTP calls into events of the control core, and its answers
// into HTTP. Checks the token in constant time.
#pragma once

#include "pollenreel/control/core.hpp"
#include "pollenreel/http/message.hpp"

#include <string>
#include <variant>

namespace pollenreel::node {

struct metrics_call {};
struct service_levels_call {};
struct operator_refusal {
    http::response answer;
};
using operator_call =
    std::variant<control::query_received, control::change_received,
                 control::plan_received, metrics_call, service_levels_call,
                 operator_refusal>;

[[nodiscard]] operator_call read_operator_call(const http::request& r,
                                               control::call_id id,
                                               const std::string& token);

[[nodiscard]] http::response to_response(const control::answer_operator& a);

} // namespace pollenreel::node
