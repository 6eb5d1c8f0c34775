#include "pollenreel/feed/benchmarks.hpp"

#include "testing/feed_network.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace pollenreel::feed {

namespace {

using namespace std::chrono_literals;
using testing::feed_network;
using testing::feed_network_options;
using milliseconds = std::chrono::duration<double, std::milli>;

// The stated targets.
constexpr double in_force_bound_ms = 4000;
constexpr double node_bytes_bound = 5000;  // a second, for all of control
constexpr double store_reads_bound = 2000; // a second
constexpr double changes_a_second = 3800.0 / 86'400;

constexpr std::uint64_t seeds = 5;
constexpr int changes = 6;
constexpr auto settle = 5s;
constexpr auto idle = 20s;
// Longer than the bound, so that a miss is seen with its size.
constexpr auto patience = 30s;
constexpr auto baseline_poll_period = 1000.0; // ms

struct workload {
    std::size_t regions;
    std::size_t per_region;
    double loss;
    std::size_t blocks; // declared, for the size of the document

    [[nodiscard]] std::size_t instances() const { return regions * per_region; }
    [[nodiscard]] std::string name(std::string_view what) const {
        return fmt::format("{}, {} instances in {} regions, {:.0f}% lost", what,
                           instances(), regions, loss * 100);
    }
};

constexpr workload workloads[] = {
    {3, 4, 0, 1000},     {3, 4, 0.05, 1000}, {3, 16, 0, 1000},
    {3, 16, 0.05, 1000}, {29, 45, 0, 200},   {29, 45, 0.05, 200},
};

struct outcome {
    double slowest_ms = 0;
    double idle_bytes = 0;   // a second, of the busiest node
    double change_bytes = 0; // a change, of the busiest node
    double idle_calls = 0;   // of the store, a second
    double change_calls = 0; // of the store, a change
    std::uint64_t reversions = 0;
};

std::vector<std::uint64_t> bytes(const feed_network& n) {
    std::vector<std::uint64_t> all;
    for (std::size_t i = 0; i < n.size(); ++i) {
        all.push_back(n.bytes_of(i));
    }
    return all;
}

double most_added(const std::vector<std::uint64_t>& before,
                  const std::vector<std::uint64_t>& after) {
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        most = std::max(most, after[i] - before[i]);
    }
    return static_cast<double>(most);
}

void measure_idle(feed_network& n, outcome& o) {
    const auto sent = bytes(n);
    const auto calls = n.store_calls();
    n.run_for(idle);
    const auto s = std::chrono::duration<double>(idle).count();
    o.idle_bytes = most_added(sent, bytes(n)) / s;
    o.idle_calls = static_cast<double>(n.store_calls() - calls) / s;
}

void measure_changes(feed_network& n, outcome& o) {
    const auto sent = bytes(n);
    const auto calls = n.store_calls();
    const auto begin = n.now();
    for (int i = 0; i < changes; ++i) {
        const auto took = n.run_until_applied(n.commit(), patience);
        o.slowest_ms = std::max(o.slowest_ms,
                                milliseconds(took.value_or(patience)).count());
        n.run_for(2s);
    }
    const auto s = std::chrono::duration<double>(n.now() - begin).count();
    const auto added = most_added(sent, bytes(n)) - o.idle_bytes * s;
    o.change_bytes = std::max(0.0, added / changes);
    const auto more =
        static_cast<double>(n.store_calls() - calls) - o.idle_calls * s;
    // The change itself is one write.
    o.change_calls = std::max(0.0, more / changes) + 1;
}

outcome run(const workload& w, std::uint64_t seed) {
    feed_network_options options;
    options.regions = w.regions;
    options.per_region = w.per_region;
    options.seed = seed;
    options.loss = w.loss;
    options.jitter = 20ms;
    options.blocks = w.blocks;
    feed_network n(options);
    n.run_for(settle);
    outcome o;
    measure_idle(n, o);
    measure_changes(n, o);
    o.reversions = n.reversions() + n.wrong_texts();
    return o;
}

// Every instance reads at a phase of its own; the slowest decides.
double baseline_ms(const workload& w, std::uint64_t seed) {
    base::random r(seed);
    double slowest = 0;
    for (int c = 0; c < changes; ++c) {
        for (std::size_t i = 0; i < w.instances(); ++i) {
            slowest = std::max(slowest, r.unit() * baseline_poll_period);
        }
    }
    return slowest;
}

measure::result row(const workload& w, std::string_view what, double value,
                    std::string unit, std::uint64_t seed) {
    measure::result r;
    r.measure = "in_force_virtual";
    r.workload = w.name(what);
    r.value = value;
    r.unit = std::move(unit);
    r.seed = seed;
    return r;
}

measure::results report(const workload& w, std::uint64_t seed) {
    const auto o = run(w, seed);
    const auto instances = static_cast<double>(w.instances());
    auto time = row(w, "slowest change", o.slowest_ms, "ms", seed);
    time.bound = in_force_bound_ms;
    time.baseline = baseline_ms(w, seed);
    auto reversions = row(w, "reversions", static_cast<double>(o.reversions),
                          "reversions", seed);
    reversions.bound = 0;
    auto node =
        row(w, "busiest node at 3,800 changes a day",
            o.idle_bytes + o.change_bytes * changes_a_second, "B/s", seed);
    node.bound = node_bytes_bound;
    auto calls = row(w, "store calls when idle", o.idle_calls, "calls/s", seed);
    calls.bound = store_reads_bound;
    calls.baseline = instances;
    auto change =
        row(w, "store calls of a change", o.change_calls, "calls", seed);
    return {
        time,  reversions,
        node,  row(w, "busiest node, of a change", o.change_bytes, "B", seed),
        calls, change};
}

} // namespace

measure::results measure_in_force_virtual() {
    measure::results all;
    for (const auto& w : workloads) {
        std::vector<std::future<measure::results>> runs;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            runs.push_back(std::async(std::launch::async, report, w, seed));
        }
        for (auto& r : runs) {
            const auto one = r.get();
            all.insert(all.end(), one.begin(), one.end());
        }
    }
    return all;
}

} // namespace pollenreel::feed
