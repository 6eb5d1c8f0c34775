// Filter: decides whether this thread accepts a request at all.
#pragma once

#include "pollenreel/request/types.hpp"

#include <cstddef>

namespace pollenreel::request {

// Maximum concurrent requests of one traffic thread, queued ones included.
// Bounds the memory that an instance uses for queued work.
constexpr std::size_t max_requests_in_flight = 20'000;

struct thread_load {
    std::size_t requests_in_flight = 0;
    bool stopping = false;
};

// Refuses with outcome not_run: stopping, overloaded.
[[nodiscard]] filter_result<classified_request>
admit(classified_request request, const thread_load& load);

} // namespace pollenreel::request
