// The measures of the request path, in virtual time on fake targets.
#pragma once

#include "pollenreel/measure/result.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::request {

// Which run a value belongs to.
struct result_key {
    std::string measure;
    std::string workload;
    std::uint64_t seed = 0;
};

// A value without a bound.
inline measure::result make_result(result_key of, double value,
                                   std::string unit) {
    measure::result r;
    r.measure = std::move(of.measure);
    r.workload = std::move(of.workload);
    r.seed = of.seed;
    r.value = value;
    r.unit = std::move(unit);
    return r;
}

// A value with its bound and the simplest policy's value.
inline measure::result make_bounded_result(result_key of, double value,
                                           std::string unit, double bound,
                                           double baseline) {
    auto r = make_result(std::move(of), value, std::move(unit));
    r.bound = bound;
    r.baseline = baseline;
    return r;
}

// Runs `one` for seeds 1 to 5, each on its own thread; results in that order.
inline measure::results
for_each_seed(const std::function<measure::results(std::uint64_t seed)>& one) {
    constexpr std::uint64_t seeds = 5;
    std::vector<std::future<measure::results>> runs;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        runs.push_back(std::async(std::launch::async, one, seed));
    }
    measure::results all;
    for (auto& r : runs) {
        const auto results = r.get();
        all.insert(all.end(), results.begin(), results.end());
    }
    return all;
}

// Look-up latency while some targets are slowed, against the same run without.
[[nodiscard]] measure::results measure_tail();
// Look-up latency beside long work, and the rate of the long work.
[[nodiscard]] measure::results measure_short_behind_long();

// Faults at every step of an attempt against the targets' own counts. The
// baseline repeats every failed attempt.
[[nodiscard]] measure::results measure_at_most_once();

// What a surviving region loses when another's traffic comes on top while
// half of its targets are cold.
[[nodiscard]] measure::results measure_headroom();

} // namespace pollenreel::request
