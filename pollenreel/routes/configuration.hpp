// Configuration of requests that are routed by host and path: routes, the
// services behind them, and limits on callers. Set by operators.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::routes {

// A service that gets a part of a route's requests, in proportion to its
// weight.
struct weighted_service {
    base::service_id service;
    double weight = 1;
};

struct route {
    std::string id;
    std::string host;                    // without a port, lower case
    std::string path_prefix;             // begins and ends with a slash
    bool idempotent = false;             // if not, a request runs at most once
    std::chrono::milliseconds timeout{}; // maximum wait for an answer
    std::chrono::milliseconds target_latency{}; // later answers count as late
    std::uint32_t max_attempts = 1;             // targets a request is sent to
    std::uint32_t priority = 0;                 // 0 is the highest
    std::vector<weighted_service> services;     // at least one
    bool sticky = false; // targets cache recently requested objects
    std::vector<base::region_id> home_regions; // empty for any region
    // Where its requests may run is unknown; they are refused as not run.
    bool withheld = false;
    // Needs no key where the configuration has tenants.
    bool is_public = false;
};

// A customer whose callers identify themselves by keys.
struct tenant {
    std::string name;
    std::vector<std::string> keys;             // secret: never logged or shown
    std::optional<std::uint32_t> priority;     // 0 is the highest
    double requests_per_s = 0;                 // 0 for no limit
    double burst = 0;                          // requests
    std::vector<base::region_id> home_regions; // empty for any region
    // What it may do is unknown; its requests are refused as not run.
    bool withheld = false;
};

struct service {
    base::service_id id;
    std::uint32_t connection_limit = 0;    // per target, from all instances
    std::chrono::milliseconds cold_time{}; // time a target is cold after start
    double cold_rate = 0;                  // requests/s to a cold target
    // Where targets say who they are and how long they stay cold; empty if
    // they do not.
    std::string health_path{};
};

struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15'000};
};

// An entry, or a field of one, that could not be read.
struct configuration_problem {
    std::string entry;       // "host a.example, route r-1"
    std::string field;       // as the operator calls it
    std::string value;       // as written, shortened; empty if missing
    std::string allowed;     // values
    std::string consequence; // what holds in its place
};

struct configuration {
    base::config_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    // Unless set, requests need no key.
    std::optional<std::vector<tenant>> tenants;
    // False if a tenant or a key may be missing, so that an unknown key may be
    // one of these.
    bool tenants_complete = true;
    // False if a route may be missing, so that a request without one may be
    // meant for it.
    bool is_complete = true;
    std::vector<configuration_problem> problems; // the first few
    std::size_t problem_count = 0;               // of all
};

// Whether requests of the tenant on the route may run in the region. `t` is
// null for requests without a tenant.
[[nodiscard]] bool may_run_in(const route& r, const tenant* t,
                              const base::region_id& region);
// Whether no region is a home of both.
[[nodiscard]] bool homes_are_disjoint(const route& r, const tenant* t);
// Number of pairs of routes and tenants whose homes are disjoint.
[[nodiscard]] std::size_t count_disjoint_homes(const configuration& c);
// Importance of the tenant's requests on the route; 0 is the highest. Tenants
// come first, routes decide among equal ones.
[[nodiscard]] double rank_of(const route& r, const tenant* t);

} // namespace pollenreel::routes
