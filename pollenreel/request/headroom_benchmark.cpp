#include "pollenreel/request/benchmarks.hpp"
#include "testing/request/virtual_fleet.hpp"

#include <algorithm>
#include <chrono>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;

// One region of a service: 8 of its 24 targets and 4 of 12 entries.
constexpr std::size_t targets = 8;
constexpr std::size_t slots = 6;
constexpr std::size_t entries = 4;
constexpr double load = 0.6;
constexpr double surge = 2; // a region of the same size fails over to it
constexpr double work_ms = 10;
constexpr std::size_t cold_targets = targets / 2;
constexpr double cold_factor = 3;
constexpr auto cold_for = 30s;
constexpr std::uint32_t no_limit_percent = 10'000;

struct request_class {
    const char* kind;
    const char* method;
    bool idempotent;
    std::chrono::milliseconds deadline;
    std::uint32_t priority;
    double share; // of the requests
};
// While targets are cold, there is capacity for orders and shelf lookups but
// not for all browsing.
constexpr request_class request_classes[] = {
    {"order", "POST", false, 5000ms, 0, 0.2},
    {"shelf", "GET", true, 500ms, 1, 0.25},
    {"browse", "GET", true, 1000ms, 3, 0.55},
};
constexpr std::size_t browse = 2;

testing::fleet_options workload(std::uint64_t seed) {
    testing::fleet_options o;
    o.seed = seed;
    o.entries = entries;
    o.targets.targets = targets;
    o.targets.slots = slots;
    o.warm_up = 5000ms;
    o.length = 40000ms;
    o.service.id = base::service_id("catalogue");
    o.service.max_connections_per_target = 400;
    const base::time_point fails = base::time_point(1h) + o.warm_up;
    for (std::size_t t = 0; t < cold_targets; ++t) {
        o.targets.slow_phases.push_back(
            {t, fails, fails + cold_for, cold_factor});
    }
    for (const auto& p : request_classes) {
        o.service.kinds.push_back({base::kind_id(p.kind),
                                   {p.method},
                                   p.idempotent,
                                   p.deadline,
                                   p.priority});
        testing::stream s;
        s.kind = base::kind_id(p.kind);
        s.mean_work = std::chrono::duration<double, std::milli>(work_ms);
        s.per_second = p.share * load * targets * slots * 1000 / work_ms;
        s.surge = surge;
        o.streams.push_back(s);
    }
    return o;
}

testing::fleet_record run_ours(std::uint64_t seed) {
    auto o = workload(seed);
    o.make_core = [](std::uint64_t own) { return core({.seed = own}); };
    return testing::run_fleet(o);
}

testing::fleet_record run_baseline(std::uint64_t seed) {
    auto o = workload(seed);
    o.service.in_flight_percent = no_limit_percent;
    for (auto& k : o.service.kinds) {
        k.hedge_percentile = 0;
        k.priority = 0;
    }
    o.make_core = [](std::uint64_t own) {
        return core({.seed = own, .policy = round_robin{}});
    };
    return testing::run_fleet(o);
}

double lost_requests(const testing::stream_record& s) {
    return static_cast<double>(s.not_run + s.unknown);
}

// Answered requests as a fraction of the maximum throughput of the slots, with
// cold targets counted at their reduced speed.
double served_fraction(const testing::fleet_record& r) {
    const auto o = workload(1);
    const std::chrono::duration<double> whole = o.length;
    const std::chrono::duration<double> cold = cold_for;
    const auto slot_seconds =
        slots * (targets * whole.count() -
                 cold_targets * cold.count() * (1 - 1 / cold_factor));
    const auto offered = load * surge * targets * slots * whole.count();
    double answered = 0;
    for (const auto& s : r.streams) {
        answered += static_cast<double>(s.answered) * work_ms / 1000;
    }
    return answered / std::min(slot_seconds, offered);
}

measure::results report(std::uint64_t seed) {
    const auto ours = run_ours(seed);
    const auto baseline = run_baseline(seed);
    const std::string name = "headroom";
    measure::results out;
    for (std::size_t i = 0; i < browse; ++i) {
        out.push_back(make_bounded_result(
            {name, std::string("catalogue lost, ") + request_classes[i].kind,
             seed},
            lost_requests(ours.streams[i]), "requests", 0,
            lost_requests(baseline.streams[i])));
    }
    auto served_result = make_result({name, "catalogue answered", seed},
                                     served_fraction(ours), "of capacity");
    served_result.baseline = served_fraction(baseline);
    out.push_back(served_result);
    out.push_back(make_result({name, "catalogue p99, shelf", seed},
                              ours.streams[1].quantile(0.99), "ms"));
    out.back().baseline = baseline.streams[1].quantile(0.99);
    out.push_back(make_result({name, "catalogue unknown, all kinds", seed},
                              static_cast<double>(ours.streams[0].unknown +
                                                  ours.streams[1].unknown +
                                                  ours.streams[2].unknown),
                              "requests"));
    return out;
}

} // namespace

measure::results measure_headroom() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
