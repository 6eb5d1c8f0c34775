#include "pollenreel/membership/control_cost_benchmark.hpp"

#include "testing/membership_fleet.hpp"

#include <malloc.h>

#include <ctime>

namespace pollenreel::membership {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t sizes[] = {12, 48, 200, 1300};
constexpr std::uint64_t seeds = 5;
// Of the budget of 5 KB/s, the part that membership may take.
constexpr double budget_bytes_per_second = 2000;
constexpr double budget_core_percent = 1.2;
constexpr auto settling = 3s;
constexpr auto observed = 5s;
// Changes of configuration a day that the size to come brings.
constexpr double changes_per_second = 3800.0 / 86400;

testing::fleet_options options(std::size_t size, std::uint64_t seed) {
    testing::fleet_options o;
    o.size = size;
    o.regions = size > 200 ? 29 : 3;
    o.seed = seed;
    o.measured = true;
    o.joined = true;
    return o;
}

struct traffic {
    double bytes = 0;
    double messages = 0;
    double most_bytes = 0; // of any one node
};

// What each node sent while `run`, on average and at most.
template <class Run>
traffic sent_during(testing::membership_fleet& f, Run run) {
    for (std::size_t i = 0; i < f.size(); ++i) {
        f.node(i).bytes = 0;
        f.node(i).messages = 0;
    }
    run();
    traffic t;
    for (std::size_t i = 0; i < f.size(); ++i) {
        const auto bytes = static_cast<double>(f.node(i).bytes);
        t.bytes += bytes;
        t.messages += static_cast<double>(f.node(i).messages);
        t.most_bytes = std::max(t.most_bytes, bytes);
    }
    t.bytes /= static_cast<double>(f.size());
    t.messages /= static_cast<double>(f.size());
    return t;
}

measure::result row(const char* measure, std::size_t size,
                    std::string_view what, double value, std::string unit,
                    std::uint64_t seed) {
    measure::result r;
    r.measure = measure;
    r.workload = fmt::format("{} nodes: {}", size, what);
    r.value = value;
    r.unit = std::move(unit);
    r.seed = seed;
    return r;
}

void measure_size(std::size_t size, std::uint64_t seed, measure::results& out) {
    const auto add = [&](std::string_view what, double value,
                         std::string unit) -> measure::result& {
        out.push_back(
            row("control_cost", size, what, value, std::move(unit), seed));
        return out.back();
    };
    testing::membership_fleet f(options(size, seed));
    f.run_for(settling);
    const double time = std::chrono::duration<double>(observed).count();
    const auto idle = sent_during(f, [&] { f.run_for(observed); });
    add("idle, sent", idle.bytes / time, "B/s");
    add("idle, sent by the busiest", idle.most_bytes / time, "B/s");
    add("idle, sent", idle.messages / time, "messages/s");
    const auto change = sent_during(f, [&] {
        for (std::size_t i = 0; i < f.size(); ++i) {
            f.node(i).core->set_applied(base::config_version(9));
        }
        f.run_for(observed);
    });
    const auto per_change = change.bytes - idle.bytes;
    add("a change applied by all, beyond idle", per_change, "B");
    auto& total =
        add("3,800 changes a day, sent",
            idle.bytes / time + per_change * changes_per_second, "B/s");
    total.bound = budget_bytes_per_second;
    const auto restart = sent_during(f, [&] {
        f.kill(5);
        f.run_for(observed);
        f.restart(5);
        f.run_for(observed);
    });
    add("a death and restart, beyond idle", restart.bytes - 2 * idle.bytes,
        "B");
    std::size_t contacts = 0;
    for (std::size_t i = 0; i < f.size(); ++i) {
        contacts = std::max(contacts, f.node(i).core->contacts());
    }
    auto& most =
        add("contacts of the busiest", static_cast<double>(contacts), "nodes");
    most.bound = static_cast<double>(most_contacts);
}

double thread_seconds() {
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_nsec) * 1e-9;
}

} // namespace

measure::results measure_control_cost() {
    measure::results out;
    for (const auto size : sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            measure_size(size, seed, out);
        }
    }
    return out;
}

measure::results measure_control_processor() {
    measure::results out;
    for (const auto size : sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto before = ::mallinfo2().uordblks;
            testing::membership_fleet f(options(size, seed));
            f.run_for(settling);
            const auto allocated = ::mallinfo2().uordblks - before;
            const auto start = thread_seconds();
            f.run_for(observed);
            const auto used = thread_seconds() - start;
            const double nodes = static_cast<double>(size);
            const double time = std::chrono::duration<double>(observed).count();
            auto core = row("control_processor", size, "idle, with encoding",
                            100 * used / nodes / time, "% of a core", seed);
            core.bound = budget_core_percent;
            out.push_back(core);
            out.push_back(row("control_processor", size, "memory",
                              static_cast<double>(allocated) / nodes, "B",
                              seed));
        }
    }
    return out;
}

} // namespace pollenreel::membership
