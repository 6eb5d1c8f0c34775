#include "pollenreel/request/benchmarks.hpp"
#include "testing/request/virtual_fleet.hpp"

#include <chrono>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t targets = 12;
constexpr std::size_t slots = 7;
constexpr double load_per_kind = 0.3; // of lookups, and of archive work
constexpr milliseconds lookup_work{10};
constexpr double low_lookup_load = 0.02;
constexpr double straggler_share = 0.01;
constexpr double straggler_factor = 20;
constexpr milliseconds archive_work = lookup_work * 50;
constexpr double p99_bound = 1.25;
constexpr double rate_bound = 0.9;

// A limit so high that no request is ever queued at an entry.
constexpr std::uint32_t no_limit_percent = 10'000;

constexpr std::size_t lookup_stream = 0;
constexpr std::size_t archive_stream = 1;

struct policy {
    target_policy choose;
    bool separates_long_work;
};
const policy ours{cold_first{}, true};
const policy baseline{round_robin{}, false};

declarations::service ledger_archive(bool separates_long_work) {
    declarations::service s;
    s.id = base::service_id("ledger-archive");
    s.max_connections_per_target = 330;
    s.kinds = {{base::kind_id("lookup"), {"GET"}, true, 2000ms, 1},
               {base::kind_id("archive"), {"PUT"}, true, 600s, 9}};
    if (separates_long_work) {
        s.kinds[archive_stream].long_running = true;
    } else {
        s.kinds[lookup_stream].hedge_percentile = 0;
        s.kinds[archive_stream].hedge_percentile = 0;
        s.in_flight_percent = no_limit_percent;
    }
    return s;
}

// As many archive callers as fill their share of the slots. Each sends the next
// request when the previous one is done, so that any queueing lowers the rate.
std::size_t archive_callers() {
    return static_cast<std::size_t>(load_per_kind * targets * slots);
}

testing::fleet_options workload(std::uint64_t seed, const policy& p) {
    testing::fleet_options o;
    o.seed = seed;
    o.targets.targets = targets;
    o.targets.slots = slots;
    o.service = ledger_archive(p.separates_long_work);
    o.make_core = [choose = p.choose](std::uint64_t own) {
        return core({own, choose, {}});
    };
    testing::stream lookups;
    lookups.kind = base::kind_id("lookup");
    lookups.mean_work = lookup_work;
    lookups.straggler_share = straggler_share;
    lookups.straggler_factor = straggler_factor;
    const auto mean_seconds =
        std::chrono::duration<double>(lookup_work).count() *
        (1 + straggler_share * (straggler_factor - 1));
    lookups.per_second = load_per_kind * targets * slots / mean_seconds;
    testing::stream archive;
    archive.kind = base::kind_id("archive");
    archive.mean_work = archive_work;
    archive.exponential = false;
    archive.closed_loop = archive_callers();
    o.streams = {lookups, archive};
    return o;
}

struct policy_result {
    double p99_ms = 0;
    double p99_ratio = 0;
    double archive_per_second = 0;
};

policy_result run_policy(std::uint64_t seed, const policy& p) {
    auto o = workload(seed, p);
    const auto with = testing::run_fleet(o);
    o.streams[archive_stream].closed_loop = 0;
    const auto without = testing::run_fleet(o);
    const auto p99 = with.streams[lookup_stream].quantile(0.99);
    return {p99, p99 / without.streams[lookup_stream].quantile(0.99),
            static_cast<double>(with.streams[archive_stream].answered) /
                std::chrono::duration<double>(o.length).count()};
}

policy_result run_ideal(std::uint64_t seed) {
    auto o = workload(seed, ours);
    o.ideal = true;
    const auto r = testing::run_fleet(o);
    return {r.streams[lookup_stream].quantile(0.99), 1,
            static_cast<double>(r.streams[archive_stream].answered) /
                std::chrono::duration<double>(o.length).count()};
}

// Enough archive callers to fill every slot while lookups use few of them: the
// fraction of the work-conserving rate that is reached by lending idle slots.
double rate_at_low_load(std::uint64_t seed) {
    auto o = workload(seed, ours);
    o.streams[lookup_stream].per_second *= low_lookup_load / load_per_kind;
    o.streams[archive_stream].closed_loop = 2 * targets * slots;
    const auto record = testing::run_fleet(o);
    const auto seconds = std::chrono::duration<double>(o.length).count();
    const auto rate =
        static_cast<double>(record.streams[archive_stream].answered) / seconds;
    const auto conserving = (1 - low_lookup_load) * targets * slots /
                            std::chrono::duration<double>(archive_work).count();
    return rate / conserving;
}

measure::results report(std::uint64_t seed) {
    const auto ours_result = run_policy(seed, ours);
    const auto baseline_result = run_policy(seed, baseline);
    const auto ideal = run_ideal(seed);
    const std::string name = "short_behind_long";
    measure::results out;
    out.push_back(make_bounded_result(
        {name, "ledger-archive look-up p99", seed}, ours_result.p99_ratio,
        "x no archive", p99_bound, baseline_result.p99_ratio));
    auto rate = make_bounded_result(
        {name, "ledger-archive archive rate", seed},
        ours_result.archive_per_second / ideal.archive_per_second,
        "of work-conserving", rate_bound,
        baseline_result.archive_per_second / ideal.archive_per_second);
    rate.direction = measure::direction::at_least;
    out.push_back(rate);
    out.push_back(make_result(
        {name, "ledger-archive look-up p99 against one queue", seed},
        ours_result.p99_ms / ideal.p99_ms, "x ideal"));
    out.push_back(make_result({name, "archive rate beside 2% look-ups", seed},
                              rate_at_low_load(seed), "of work-conserving"));
    return out;
}

} // namespace

measure::results measure_short_behind_long() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
