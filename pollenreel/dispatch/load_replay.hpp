// Replays a load pattern against cores of several instances and simulated
// targets, without a network: seeded arrivals, targets with slots, a bounded
// queue and a limit on connections.
#pragma once

#include "pollenreel/dispatch/core.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace pollenreel::dispatch::testing {

struct replay_pattern {
    fleet_limits limits;
    std::vector<std::size_t> targets{6}; // for each region
    std::size_t instances = 4;           // in each region
    std::uint32_t slots = 4;
    std::size_t max_waiting = 12;         // further requests are refused
    std::uint32_t connection_limit = 400; // halved while the queue is long
    std::chrono::milliseconds work{150};  // mean
    double requests_per_s = 20;           // to each instance
    std::size_t objects = 200;
    // Priorities of the routes, which are requested equally often.
    std::vector<std::uint32_t> priorities{0};
    std::chrono::seconds lasts{20};
};

struct replay_result {
    struct count {
        std::uint64_t arrived = 0;
        std::uint64_t in_time = 0; // answered within the target latency
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::chrono::duration<double> waited{}; // until the answers, in sum
    };
    std::vector<count> by_region;
    std::vector<count> by_priority;
    count all;
    std::uint64_t attempts = 0;
    std::uint64_t refused_by_full = 0; // attempts refused by a full target
    std::uint64_t resets = 0;
    // First attempts of the first region by windows of two seconds.
    struct window {
        double attempts = 0;
        double abroad = 0;
    };
    std::vector<window> windows;
};

[[nodiscard]] replay_result replay(const replay_pattern& p,
                                   std::uint64_t seed = 1);

} // namespace pollenreel::dispatch::testing
