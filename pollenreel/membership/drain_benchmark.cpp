#include "pollenreel/membership/drain_benchmark.hpp"

#include "pollenreel/lookup/table.hpp"
#include "testing/membership_fleet.hpp"

namespace pollenreel::membership {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed_count = 5;
constexpr double max_seconds = 2;
constexpr std::size_t first_leaver = 4;
constexpr std::size_t second_leaver = 9;

// Takes two of twelve instances out with `remove`, and returns the seconds
// until no other instance returns them to callers.
template <class Remove>
double removal_seconds(std::uint64_t seed, Remove remove) {
    testing::membership_fleet fleet({.size = 12, .seed = seed, .joined = true});
    fleet.run_for(std::chrono::milliseconds(2000 + 17 * seed));
    remove(fleet, first_leaver);
    remove(fleet, second_leaver);
    const auto elapsed = fleet.run_until(30s, [&] {
        return fleet.namers(first_leaver) + fleet.namers(second_leaver) == 0;
    });
    return std::chrono::duration<double>(elapsed).count();
}

measure::result make_result(const char* workload, double value, double baseline,
                            std::uint64_t seed) {
    measure::result r;
    r.measure = "drain";
    r.workload = workload;
    r.value = value;
    r.unit = "s";
    r.bound = max_seconds;
    r.baseline = baseline;
    r.seed = seed;
    return r;
}

} // namespace

measure::results measure_drain() {
    measure::results out;
    const double time_to_live =
        std::chrono::duration<double>(lookup::answer_time_to_live).count();
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto leave = removal_seconds(
            seed, [](auto& fleet, std::size_t i) { fleet.leave(i); });
        const auto death = removal_seconds(
            seed, [](auto& fleet, std::size_t i) { fleet.kill(i); });
        out.push_back(
            make_result("2 of 12 entries leave: last answer that names one",
                        leave, death, seed));
        out.push_back(
            make_result("2 of 12 entries leave: last caller with an answer",
                        leave + time_to_live, death + time_to_live, seed));
    }
    return out;
}

} // namespace pollenreel::membership
