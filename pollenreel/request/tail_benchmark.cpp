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
constexpr std::size_t slowed_at_once = 3;
constexpr double slowed_factor = 10;
// So many attempts under way that none ever waits at an entry.
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

// At each moment three targets are slowed, each for 2-10 s.
std::vector<testing::slow_phase> slow_phases(std::uint64_t seed,
                                             milliseconds length) {
    base::random random(seed);
    std::vector<testing::slow_phase> phases;
    const base::time_point begin{1h};
    for (std::size_t lane = 0; lane < slowed_at_once; ++lane) {
        auto at = begin;
        while (at < begin + length) {
            const milliseconds lasts(2000 + random.below(8001));
            phases.push_back(
                {random.below(targets), at, at + lasts, slowed_factor});
            at += lasts;
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

struct tails {
    double p99 = 0; // times the clean run's
    double p999 = 0;
    double extra_attempts = 0;
    double p999_ms = 0;
};

tails run_candidate(const candidate& c, std::uint64_t seed) {
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
    const auto times_clean = [&](double q) {
        return slowed.streams[0].quantile(q) / clean.streams[0].quantile(q);
    };
    const auto extra = static_cast<double>(slowed.attempts) /
                           static_cast<double>(slowed.requests) -
                       1;
    return {times_clean(0.99), times_clean(0.999), extra,
            slowed.streams[0].quantile(0.999)};
}

// Against a queue that sees every slot: how much longer our p99.9 is.
double p999_of_ideal(std::uint64_t seed) {
    auto o = bench_desk(seed);
    o.targets.slow_phases = slow_phases(seed, o.warm_up + o.length);
    o.ideal = true;
    return testing::run_fleet(o).streams[0].quantile(0.999);
}

measure::results report(std::uint64_t seed) {
    measure::results out;
    std::vector<tails> seen;
    for (const auto& c : candidates) {
        seen.push_back(run_candidate(c, seed));
    }
    const auto& ours = seen.front();
    const auto& simplest = seen.back();
    const std::string at = "bench-desk ";
    out.push_back(make_bounded_result({"tail", at + "p99", seed}, ours.p99,
                                      "x clean", p99_bound, simplest.p99));
    out.push_back(make_bounded_result({"tail", at + "p99.9", seed}, ours.p999,
                                      "x clean", p999_bound, simplest.p999));
    out.push_back(make_bounded_result(
        {"tail", at + "extra attempts", seed}, ours.extra_attempts,
        "of requests", extra_attempts_bound, simplest.extra_attempts));
    for (std::size_t i = 1; i + 1 < seen.size(); ++i) {
        const auto with = at + "p99.9, " + candidates[i].name;
        out.push_back(
            make_result({"tail", with, seed}, seen[i].p999, "x clean"));
    }
    out.push_back(make_result({"tail", at + "p99.9 against one queue", seed},
                              ours.p999_ms / p999_of_ideal(seed), "x ideal"));
    return out;
}

} // namespace

measure::results measure_tail() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
