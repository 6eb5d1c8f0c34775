// Decides at once whether a request is worth sending, or is refused as not
// run with the time after which room is expected. A request for which a slot
// is free is refused only if its caller will have left long before the answer.
//
// Answers the load pattern of more work than all slots can do: what would
// only be answered late makes the work behind it late too.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/placement.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace pollenreel::dispatch {

struct admission_query {
    base::duration waited{};    // since the request arrived
    base::duration time_left{}; // until nobody waits for the answer
    std::chrono::milliseconds target_latency{};
    std::uint32_t priority = 0; // 0 is the highest
};

struct admitted {};
struct rejected {
    // When room is expected.
    std::chrono::milliseconds retry_after{};
};

// Whether an answer expected after `expected` may still reach its caller, who
// waits for `time_left`: expectations are means, half of the work is shorter.
[[nodiscard]] bool worth_sending(base::duration expected,
                                 base::duration time_left);

[[nodiscard]] std::variant<admitted, rejected> admit(const placement& p,
                                                     const admission_query& q);

} // namespace pollenreel::dispatch
