// What operators configure for requests that are routed by host and path:
// routes, the services behind them, and limits on callers. Plain values.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenreel::routes {

// A service's part of a route's traffic. Weights are relative.
struct weighted_service {
    base::service_id service;
    double weight = 1;
};

struct route {
    std::string id;
    std::string host;                    // without a port, lower case
    std::string path_prefix;             // begins and ends with a slash
    bool idempotent = false;             // else a request runs at most once
    std::chrono::milliseconds timeout{}; // longest wait for an answer
    std::chrono::milliseconds target_latency{}; // an answer is late after it
    std::uint32_t max_attempts = 1;             // targets a request is sent to
    std::uint32_t priority = 0;                 // 0 is the highest
    std::vector<weighted_service> services;     // at least one
    bool sticky = false; // targets are faster on objects seen recently
    std::vector<base::region_id> home_regions; // empty: any region
};

struct service {
    base::service_id id;
    std::uint32_t connection_limit = 0;    // of one target, all callers
    std::chrono::milliseconds cold_time{}; // after a start
    double cold_rate = 0;                  // requests/s a cold target bears
};

struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15'000};
};

struct configuration {
    base::config_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
};

} // namespace pollenreel::routes
