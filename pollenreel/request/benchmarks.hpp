// The measures of the request path, in virtual time on fake targets.
#pragma once

#include "pollenreel/measure/result.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace pollenreel::request {

// Which run a value belongs to.
struct run_name {
    std::string measure;
    std::string workload;
    std::uint64_t seed = 0;
};

// A value without a bound.
inline measure::result reported(run_name of, double value, std::string unit) {
    measure::result r;
    r.measure = std::move(of.measure);
    r.workload = std::move(of.workload);
    r.seed = of.seed;
    r.value = value;
    r.unit = std::move(unit);
    return r;
}

// A value with its bound and the simplest policy's value.
inline measure::result judged(run_name of, double value, std::string unit,
                              double bound, double baseline) {
    auto r = reported(std::move(of), value, std::move(unit));
    r.bound = bound;
    r.baseline = baseline;
    return r;
}

// Look-up latency while some targets are slowed, against the same run without.
[[nodiscard]] measure::results measure_tail();
// Look-up latency beside long work, and the rate of the long work.
[[nodiscard]] measure::results measure_short_behind_long();

} // namespace pollenreel::request
