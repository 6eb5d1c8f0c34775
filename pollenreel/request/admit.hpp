// Filter: decides whether this instance takes a request on at all.
#pragma once

#include "pollenreel/request/types.hpp"

#include <cstddef>

namespace pollenreel::request {

// Requests that one traffic thread carries at once. Trades memory against
// how much waiting work an instance may hold.
constexpr std::size_t most_requests_in_flight = 20'000;

struct load {
    std::size_t requests_in_flight = 0;
    bool stopping = false;
};

// Refuses with not_run: stopping, overloaded.
[[nodiscard]] filtered<classified> admit(classified c, const load& l);

} // namespace pollenreel::request
