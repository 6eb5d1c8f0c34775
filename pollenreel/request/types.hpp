// The input and output types of the filters that process a request, and the
// outcome carried by every response that the system generates itself.
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

// Whether a request that failed in the system may have been executed.
enum class outcome {
    not_run, // no target executed it
    unknown, // a target may have executed it
};
[[nodiscard]] std::string_view to_string(outcome value); // "not-run", "unknown"

// Why the system responded instead of a target.
enum class reason {
    unknown_service,
    unknown_route,
    unreadable_route, // its entry of the configuration could not be read
    no_configuration, // none has been received yet
    unknown_kind,
    bad_deadline,
    no_target,
    overloaded,
    deadline_expired,
    connect_failed,
    connection_lost,
    wrong_answer,
    target_shed,
    target_error, // responded with a server error
    stopping,
    missing_key,      // the route needs the key of a tenant
    unknown_key,      // no tenant has it
    unreadable_key,   // its tenant could not be read, or several have it
    keys_unconfirmed, // the key may have been withdrawn in the meantime
    no_home,          // no region is a home of both the route and the tenant
    over_quota,       // of its tenant
};
[[nodiscard]] std::string_view to_string(reason value); // "deadline-expired"

struct refusal {
    request::outcome outcome = outcome::not_run;
    request::reason reason = reason::no_target;

    friend bool operator==(const refusal&, const refusal&) = default;
};

// A request as received from a caller.
struct incoming_request {
    base::request_id id;
    base::service_id service;
    std::string method;
    std::optional<base::kind_id> kind;                 // set by the caller
    std::optional<std::chrono::milliseconds> deadline; // set by the caller
    std::uint64_t bytes = 0;                           // header and body
};

// A request with its declared kind of work and its deadline.
struct classified_request {
    base::request_id id;
    base::service_id service;
    declarations::kind kind;
    base::time_point deadline;
};

// The target selected for one attempt.
struct chosen_target {
    base::target_id id;
    base::endpoint address;

    friend auto operator<=>(const chosen_target&,
                            const chosen_target&) = default;
};

// The output of a filter, or the refusal that ends the request.
template <class T>
using filter_result = std::variant<T, refusal>;

} // namespace pollenreel::request
