// Messages between a core, which decides about attempts, and the connections
// that execute them.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/request/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::request {

// What a target says of itself on a connection that was just opened, or to
// another instance meanwhile. The process that answers is the one that all
// requests on the connection reach.
struct target_check {
    // False if the answer does not tell; `cold_for` says nothing then.
    bool tells = false;
    std::chrono::milliseconds cold_for{0};
    bool wrong_target = false; // another target owns the address
    // The answer names its target and refuses nothing: it is that of the check,
    // and a second copy of it cannot pass for the refusal of a request.
    bool identified = false;
};

// Events.
struct attempt_connected {
    base::attempt_id attempt;
    // nullopt if the connection was open before, or no check was asked for.
    std::optional<target_check> check = std::nullopt;
    // The connection was opened for the attempt.
    bool is_new = false;
};
struct attempt_connect_failed {
    base::attempt_id attempt;
};
struct attempt_answered {
    base::attempt_id attempt;
    response_info response;
};
struct attempt_lost {
    base::attempt_id attempt;
};
using attempt_event = std::variant<attempt_connected, attempt_connect_failed,
                                   attempt_answered, attempt_lost>;

// Effects.
struct open_attempt { // obtain a connection to the target
    base::attempt_id attempt;
    base::request_id request;
    chosen_target target;
    base::time_point deadline;
    bool idempotent = false;
    // Maximum connections to the target, including idle ones.
    std::uint32_t max_connections = 1;
    // Closes idle connections beyond `max_connections` also if the attempt
    // reuses one.
    bool close_surplus = false;
    // A connection that has to be opened is checked by a GET of this path
    // before it is reported as connected; empty for no check.
    std::string check_path{};
    // Instances near the target, of which one is asked for that check while
    // the connection is being opened. Without their answer it is made here.
    std::vector<base::endpoint> check_peers{};
};
struct send_attempt { // write the request to the attempt's connection
    base::attempt_id attempt;
    std::chrono::milliseconds time_left;
};
struct abandon_attempt { // cancel it by closing its connection
    base::attempt_id attempt;
};
struct forward_response { // pass the attempt's response to the caller
    base::request_id request;
    base::attempt_id attempt;
};

} // namespace pollenreel::request
