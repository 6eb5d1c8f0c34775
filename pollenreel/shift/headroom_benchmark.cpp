#include "pollenreel/request/benchmarks.hpp"
#include "pollenreel/shift/benchmarks.hpp"
#include "testing/shift/virtual_regions.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

using namespace std::chrono_literals;
using base::duration;
using request::make_bounded_result;
using request::make_result;
using testing::regions_options;
using testing::virtual_regions;

constexpr double load = 0.6;
// Fraction of look-ups and orders. The rest is browsing and is shed first.
constexpr double urgent_part = 0.4;
constexpr duration warm_up = 20s;
constexpr duration observation_time = 60s;
constexpr std::size_t urgent = 0;
constexpr std::size_t browsing = 1;
constexpr double max_fill = 1.0; // of a region's slots

regions_options workload(std::uint64_t seed) {
    regions_options o;
    o.seed = seed;
    const double requests =
        load * o.slots_per_region /
        std::chrono::duration<double>(o.service_time).count();
    o.requests_per_second = {requests * urgent_part,
                             requests * (1 - urgent_part)};
    return o;
}

struct outcome {
    double fill = 0; // of the fuller surviving region
    double urgent_lost = 0;
    double browsing_lost = 0;
};

double lost(const testing::kind_counts& c) {
    return static_cast<double>(c.refused) /
           static_cast<double>(std::max<std::uint64_t>(c.arrived, 1));
}

outcome fail_one(const regions_options& o) {
    virtual_regions regions(o);
    regions.run_until(warm_up);
    const auto urgent_before = regions.counts(0, urgent).arrived;
    const auto browsing_before = regions.counts(0, browsing).arrived;
    regions.fail_targets(0);
    regions.run_until(warm_up + observation_time);
    auto u = regions.counts(0, urgent);
    auto b = regions.counts(0, browsing);
    u.arrived -= urgent_before;
    b.arrived -= browsing_before;
    return {std::max(regions.peak_fill(1), regions.peak_fill(2)), lost(u),
            lost(b)};
}

measure::results measure_seed(std::uint64_t seed) {
    const auto o = workload(seed);
    auto unlimited = o;
    unlimited.split_spill = false;
    const auto result = fail_one(o);
    const auto baseline = fail_one(unlimited);
    return {make_bounded_result({"headroom_regions",
                                 "slots in use in the fuller region, over 1 s",
                                 seed},
                                result.fill, "of all", max_fill, baseline.fill),
            make_bounded_result(
                {"headroom_regions",
                 "look-ups and orders lost of a failed region", seed},
                result.urgent_lost, "1", 0, baseline.urgent_lost),
            make_result(
                {"headroom_regions", "browsing lost of a failed region", seed},
                result.browsing_lost, "1")};
}

} // namespace

measure::results measure_headroom() {
    return request::for_each_seed(measure_seed);
}

} // namespace pollenreel::shift
