#include "pollenreel/request/benchmarks.hpp"
#include "testing/request/virtual_fleet.hpp"

#include <chrono>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t targets = 14;
constexpr std::size_t slots = 7;
constexpr double load = 0.6;
constexpr double work_ms = 10;
constexpr std::size_t concurrent_slow_targets = 3;
constexpr double slowdown_factor = 10;
// A limit so high that no request is ever queued at an entry.
constexpr std::uint32_t no_limit_percent = 10'000;
constexpr double p99_bound = 1.5;
constexpr double p999_bound = 2.5;
constexpr double extra_attempts_bound = 0.05;

struct candidate {
    const char* name;
    target_policy choose;
    bool hedges;
    bool limits;
};

const candidate candidates[] = {
    {"cold first, hedged", cold_first{}, true, true},
    {"cold first", cold_first{}, false, true},
    {"least in-flight, hedged", least_in_flight{}, true, true},
    {"two choices, hedged", two_choices{}, true, true},
    {"round robin", round_robin{}, false, false},
};

// At any time, three targets are slow, each for 2 to 10 s.
std::vector<testing::slow_phase> slow_phases(std::uint64_t seed,
                                             milliseconds length) {
    base::random random(seed);
    std::vector<testing::slow_phase> phases;
    const base::time_point begin{1h};
    for (std::size_t lane = 0; lane < concurrent_slow_targets; ++lane) {
        auto prefix = begin;
        while (prefix < begin + length) {
            const milliseconds duration(2000 + random.below(8001));
            phases.push_back({random.below(targets), prefix, prefix + duration,
                              slowdown_factor});
            prefix += duration;
        }
    }
    return phases;
}

testing::fleet_options bench_desk(std::uint64_t seed) {
    testing::fleet_options o;
    o.seed = seed;
    o.targets.targets = targets;
    o.targets.slots = slots;
    o.service.id = base::service_id("bench-desk");
    o.service.max_connections_per_target = 330;
    o.service.kinds = {{base::kind_id("lookup"), {"GET"}, true, 2000ms, 1}};
    testing::stream lookups;
    lookups.kind = base::kind_id("lookup");
    lookups.per_second = load * targets * slots * 1000 / work_ms;
    lookups.mean_work = std::chrono::duration<double, std::milli>(work_ms);
    o.streams = {lookups};
    return o;
}

struct tail_latencies {
    double p99 = 0; // ratio to the run without slow targets
    double p999 = 0;
    double extra_attempts = 0;
    double p999_ms = 0;
};

tail_latencies run_candidate(const candidate& c, std::uint64_t seed) {
    auto o = bench_desk(seed);
    o.make_core = [&](std::uint64_t own) { return core({own, c.choose, {}}); };
    if (!c.hedges) {
        o.service.kinds[0].hedge_percentile = 0;
    }
    if (!c.limits) {
        o.service.in_flight_percent = no_limit_percent;
    }
    const auto clean = testing::run_fleet(o);
    o.targets.slow_phases = slow_phases(seed, o.warm_up + o.length);
    const auto slowed = testing::run_fleet(o);
    const auto ratio_to_clean = [&](double q) {
        return slowed.streams[0].quantile(q) / clean.streams[0].quantile(q);
    };
    const auto extra = static_cast<double>(slowed.attempts) /
                           static_cast<double>(slowed.requests) -
                       1;
    return {ratio_to_clean(0.99), ratio_to_clean(0.999), extra,
            slowed.streams[0].quantile(0.999)};
}

// The p99.9 in ms of an ideal single queue in front of all slots.
double ideal_p999(std::uint64_t seed) {
    auto o = bench_desk(seed);
    o.targets.slow_phases = slow_phases(seed, o.warm_up + o.length);
    o.ideal = true;
    return testing::run_fleet(o).streams[0].quantile(0.999);
}

measure::results report(std::uint64_t seed) {
    measure::results out;
    std::vector<tail_latencies> latencies;
    for (const auto& c : candidates) {
        latencies.push_back(run_candidate(c, seed));
    }
    const auto& ours = latencies.front();
    const auto& baseline = latencies.back();
    const std::string prefix = "bench-desk ";
    out.push_back(make_bounded_result({"tail", prefix + "p99", seed}, ours.p99,
                                      "x clean", p99_bound, baseline.p99));
    out.push_back(make_bounded_result({"tail", prefix + "p99.9", seed},
                                      ours.p999, "x clean", p999_bound,
                                      baseline.p999));
    out.push_back(make_bounded_result(
        {"tail", prefix + "extra attempts", seed}, ours.extra_attempts,
        "of requests", extra_attempts_bound, baseline.extra_attempts));
    for (std::size_t i = 1; i + 1 < latencies.size(); ++i) {
        const auto with = prefix + "p99.9, " + candidates[i].name;
        out.push_back(
            make_result({"tail", with, seed}, latencies[i].p999, "x clean"));
    }
    out.push_back(
        make_result({"tail", prefix + "p99.9 against one queue", seed},
                    ours.p999_ms / ideal_p999(seed), "x ideal"));
    return out;
}

} // namespace

measure::results measure_tail() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
