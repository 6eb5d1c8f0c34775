// Benchmarks of the request path, in virtual time against simulated targets.
#pragma once

#include "pollenreel/measure/result.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::request {

// Identifies the run that a value belongs to.
struct result_key {
    std::string measure;
    std::string workload;
    std::uint64_t seed = 0;
};

// A result without a bound.
inline measure::result make_result(result_key key, double value,
                                   std::string unit) {
    measure::result r;
    r.measure = std::move(key.measure);
    r.workload = std::move(key.workload);
    r.seed = key.seed;
    r.value = value;
    r.unit = std::move(unit);
    return r;
}

// A result with its bound and the value of the baseline policy.
inline measure::result make_bounded_result(result_key key, double value,
                                           std::string unit, double bound,
                                           double baseline) {
    auto r = make_result(std::move(key), value, std::move(unit));
    r.bound = bound;
    r.baseline = baseline;
    return r;
}

// Runs `run` for seeds 1 to 5, each on its own thread. The results are in the
// order of the seeds.
inline measure::results
for_each_seed(const std::function<measure::results(std::uint64_t seed)>& run) {
    constexpr std::uint64_t seeds = 5;
    std::vector<std::future<measure::results>> runs;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        runs.push_back(std::async(std::launch::async, run, seed));
    }
    measure::results all;
    for (auto& r : runs) {
        const auto results = r.get();
        all.insert(all.end(), results.begin(), results.end());
    }
    return all;
}

// Lookup latency while some targets are slow, relative to the same run without
// slow targets.
[[nodiscard]] measure::results measure_tail();
// Lookup latency while long work runs, and the throughput of the long work.
[[nodiscard]] measure::results measure_short_behind_long();

// Faults at every step of an attempt, checked against the executions that the
// targets count. The baseline retries every failed attempt.
[[nodiscard]] measure::results measure_at_most_once();

// Requests that a region loses when it takes over the traffic of another region
// while half of its targets are cold.
[[nodiscard]] measure::results measure_headroom();

} // namespace pollenreel::request
