// Filter: decides whether this instance takes a request on at all.
#pragma once

#include "pollenreel/request/types.hpp"

#include <cstddef>

namespace pollenreel::request {

// Requests that one traffic thread carries at once. Trades memory against
// how much waiting work an instance may hold.
constexpr std::size_t max_requests_in_flight = 20'000;

struct thread_load {
    std::size_t requests_in_flight = 0;
    bool stopping = false;
};

// Refuses with not_run: stopping, overloaded.
[[nodiscard]] filter_result<classified_request> admit(classified_request c,
                                                      const thread_load& l);

} // namespace pollenreel::request
