#include "pollenreel/membership/control_cost_benchmark.hpp"

#include "testing/membership_fleet.hpp"

#include <malloc.h>

#include <ctime>

namespace pollenreel::membership {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t fleet_sizes[] = {12, 48, 200, 1300};
constexpr std::uint64_t seed_count = 5;
// The share of membership in a node's budget of 5 KB/s.
constexpr double budget_bytes_per_second = 2000;
constexpr double budget_core_percent = 1.2;
constexpr auto settling_time = 3s;
constexpr auto observation_time = 5s;
// Configuration changes expected at the planned fleet size: 3,800 a day.
constexpr double changes_per_second = 3800.0 / 86400;

testing::fleet_options make_options(std::size_t size, std::uint64_t seed) {
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
    double max_bytes = 0; // greatest of any node
};

// Returns what the nodes sent during `run`: the average and the greatest.
template <class Run>
traffic measure_traffic(testing::membership_fleet& fleet, Run run) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.node(i).bytes = 0;
        fleet.node(i).messages = 0;
    }
    run();
    traffic t;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto bytes = static_cast<double>(fleet.node(i).bytes);
        t.bytes += bytes;
        t.messages += static_cast<double>(fleet.node(i).messages);
        t.max_bytes = std::max(t.max_bytes, bytes);
    }
    t.bytes /= static_cast<double>(fleet.size());
    t.messages /= static_cast<double>(fleet.size());
    return t;
}

measure::result make_result(const char* measure, std::size_t size,
                            std::string_view what, double value,
                            std::string unit, std::uint64_t seed) {
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
        out.push_back(make_result("control_cost", size, what, value,
                                  std::move(unit), seed));
        return out.back();
    };
    testing::membership_fleet fleet(make_options(size, seed));
    fleet.run_for(settling_time);
    const double time = std::chrono::duration<double>(observation_time).count();
    const auto idle =
        measure_traffic(fleet, [&] { fleet.run_for(observation_time); });
    add("idle, sent", idle.bytes / time, "B/s");
    add("idle, sent by the busiest", idle.max_bytes / time, "B/s");
    add("idle, sent", idle.messages / time, "messages/s");
    const auto change = measure_traffic(fleet, [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.node(i).core->set_applied(base::config_version(9));
        }
        fleet.run_for(observation_time);
    });
    const auto per_change = change.bytes - idle.bytes;
    add("a change applied by all, beyond idle", per_change, "B");
    auto& total =
        add("3,800 changes a day, sent",
            idle.bytes / time + per_change * changes_per_second, "B/s");
    total.bound = budget_bytes_per_second;
    const auto restart = measure_traffic(fleet, [&] {
        fleet.kill(5);
        fleet.run_for(observation_time);
        fleet.restart(5);
        fleet.run_for(observation_time);
    });
    add("a death and restart, beyond idle", restart.bytes - 2 * idle.bytes,
        "B");
    std::size_t contacts = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        contacts = std::max(contacts, fleet.node(i).core->contact_count());
    }
    auto& most =
        add("contacts of the busiest", static_cast<double>(contacts), "nodes");
    most.bound = static_cast<double>(max_contacts);
}

double thread_cpu_seconds() {
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_nsec) * 1e-9;
}

} // namespace

measure::results measure_control_cost() {
    measure::results out;
    for (const auto size : fleet_sizes) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            measure_size(size, seed, out);
        }
    }
    return out;
}

measure::results measure_control_processor() {
    measure::results out;
    for (const auto size : fleet_sizes) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            const auto before = ::mallinfo2().uordblks;
            testing::membership_fleet fleet(make_options(size, seed));
            fleet.run_for(settling_time);
            const auto allocated = ::mallinfo2().uordblks - before;
            const auto start = thread_cpu_seconds();
            fleet.run_for(observation_time);
            const auto used = thread_cpu_seconds() - start;
            const double nodes = static_cast<double>(size);
            const double time =
                std::chrono::duration<double>(observation_time).count();
            auto core =
                make_result("control_processor", size, "idle, with encoding",
                            100 * used / nodes / time, "% of a core", seed);
            core.bound = budget_core_percent;
            out.push_back(core);
            out.push_back(make_result("control_processor", size, "memory",
                                      static_cast<double>(allocated) / nodes,
                                      "B", seed));
        }
    }
    return out;
}

} // namespace pollenreel::membership
