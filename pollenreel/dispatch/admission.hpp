// Admission control: decides on arrival whether a request is sent or refused
// as not run, with the time after which capacity is expected. A request for
// which a slot is free is refused only if its caller will be gone long before
// the answer.
//
// Under overload, queueing requests that can only be answered late would make
// the requests behind them late as well.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/placement.hpp"

#include <chrono>
#include <variant>

namespace pollenreel::dispatch {

struct admission_query {
    base::duration waited{};    // since the request arrived
    base::duration time_left{}; // until the caller stops waiting
    std::chrono::milliseconds target_latency{};
    double rank = 0; // of the request; 0 is the highest
    // A request of the highest rank that has to queue is refused if its answer
    // is expected after this many target latencies; 0 for the usual limits.
    double shed_late = 0;
    // Steps of rank by which the tenant asks for more than its share, from
    // `excess_demand_rank`. Counts also at the lowest rank.
    double excess = 0;
};

struct admitted {};
struct rejected {
    // Time until capacity is expected.
    std::chrono::milliseconds retry_after{};
};

// Whether an answer expected after `expected` may still reach a caller that
// waits for `time_left`. `expected` is a mean, so the answer may well come
// sooner.
[[nodiscard]] bool worth_sending(base::duration expected,
                                 base::duration time_left);

// Steps of rank for the requests of a tenant that asks for `relative_demand`
// times as much of its limit as the tenants do on average: when a service is
// full, what is above the mean is refused first. At most one step and a half,
// so that nobody is starved.
[[nodiscard]] double excess_demand_rank(double relative_demand);

// Decides on sending a request to the target of `chosen`.
[[nodiscard]] std::variant<admitted, rejected>
admit(const placement& chosen, const admission_query& query);

} // namespace pollenreel::dispatch
