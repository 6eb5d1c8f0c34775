// Drives many request cores against fake targets in virtual time, and records
// how each request ended. The measures of the request path run on it.
//
//   fleet_options o;
//   o.streams = {{.kind = base::kind_id("lookup"), .per_second = 5880}};
//   auto seen = run_fleet(o);
//   seen.streams[0].quantile(0.99);
#pragma once

#include "pollenreel/request/core.hpp"
#include "testing/request/fake_targets.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace pollenreel::testing {

// Requests of one kind, spread evenly over the entry instances.
struct stream {
    base::kind_id kind;
    // Poisson arrivals; 0 for none.
    double per_second = 0;
    // The rate after the warm-up, as a multiple.
    double surge = 1;
    // Callers that each send the next request when the last one ended.
    std::size_t closed_loop = 0;
    // Exponential; the same work for each attempt of a request.
    std::chrono::duration<double, std::milli> mean_work{10};
    // This share of requests takes `straggler_factor` as long; their latencies
    // are left out.
    double straggler_share = 0;
    double straggler_factor = 20;
    bool exponential = true;
};

struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t entries = 12;
    fake_target_options targets;
    declarations::service service; // its kinds and limits
    std::vector<stream> streams;
    std::chrono::milliseconds warm_up{3000}; // not recorded
    std::chrono::milliseconds length{20000};
    std::chrono::microseconds one_way{500};
    std::function<request::core(std::uint64_t seed)> make_core;
    // One queue that sees every slot and the speed of each, short work first:
    // what no fleet of separate entries can beat.
    bool ideal = false;
};

// How the requests of one stream ended after the warm-up.
struct stream_record {
    std::vector<double> latencies_ms; // answered, sorted
    std::uint64_t answered = 0;       // stragglers included
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;

    [[nodiscard]] double quantile(double q) const;
};

struct fleet_record {
    std::vector<stream_record> streams;
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
};

[[nodiscard]] fleet_record run_fleet(const fleet_options& options);

} // namespace pollenreel::testing
