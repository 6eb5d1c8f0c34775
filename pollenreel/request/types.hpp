// What passes through the request pipe: the typed input and output of each
// filter, and the outcome that every answer made by the system itself carries.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/document.hpp"
#include "pollenreel/routing/snapshot.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace pollenreel::request {

// Whether a request that the system could not answer may have run.
enum class outcome {
    not_run, // provably no target ran it
    unknown, // a target may have run it
};
[[nodiscard]] std::string_view to_string(outcome o); // "not-run", "unknown"

// Why the system answered in place of a target.
enum class reason {
    unknown_service,
    unknown_route,
    no_configuration, // none was received yet
    unknown_kind,
    bad_deadline,
    no_target,
    overloaded,
    deadline_expired,
    connect_failed,
    connection_lost,
    wrong_answer,
    target_shed,
    target_error, // answered with a server error
    stopping,
};
[[nodiscard]] std::string_view to_string(reason r); // "deadline-expired"

struct refusal {
    request::outcome outcome = outcome::not_run;
    request::reason reason = reason::no_target;

    friend bool operator==(const refusal&, const refusal&) = default;
};

// A request as read from a caller.
struct incoming_request {
    base::request_id id;
    base::service_id service;
    std::string method;
    std::optional<base::kind_id> kind;                 // named by the caller
    std::optional<std::chrono::milliseconds> deadline; // named by the caller
    std::uint64_t bytes = 0;                           // head and body
};

// A request whose kind of work and deadline are known.
struct classified_request {
    base::request_id id;
    base::service_id service;
    declarations::kind kind;
    base::time_point deadline;
};

// The target chosen for one attempt.
struct chosen_target {
    base::target_id id;
    base::endpoint address;
};

// A filter's output, or the refusal that ends the request.
template <class T>
using filter_result = std::variant<T, refusal>;

} // namespace pollenreel::request
