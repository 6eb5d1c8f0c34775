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
// Look-ups and orders; the rest is browsing and is shed first.
constexpr double urgent_part = 0.4;
constexpr duration settled = 20s;
constexpr duration watched = 60s;
constexpr std::size_t urgent = 0;
constexpr std::size_t browsing = 1;
constexpr double full = 1.0; // of a region's slots

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
    virtual_regions f(o);
    f.run_until(settled);
    const auto urgent_before = f.counts(0, urgent).arrived;
    const auto browsing_before = f.counts(0, browsing).arrived;
    f.fail_targets(0);
    f.run_until(settled + watched);
    auto u = f.counts(0, urgent);
    auto b = f.counts(0, browsing);
    u.arrived -= urgent_before;
    b.arrived -= browsing_before;
    return {std::max(f.peak_fill(1), f.peak_fill(2)), lost(u), lost(b)};
}

measure::results one_seed(std::uint64_t seed) {
    const auto o = workload(seed);
    auto unlimited = o;
    unlimited.split_spill = false;
    const auto ours = fail_one(o);
    const auto simplest = fail_one(unlimited);
    return {make_bounded_result({"headroom_regions",
                                 "slots in use in the fuller region, over 1 s",
                                 seed},
                                ours.fill, "of all", full, simplest.fill),
            make_bounded_result({"headroom_regions",
                                 "look-ups and orders lost of a failed region",
                                 seed},
                                ours.urgent_lost, "1", 0, simplest.urgent_lost),
            make_result(
                {"headroom_regions", "browsing lost of a failed region", seed},
                ours.browsing_lost, "1")};
}

} // namespace

measure::results measure_headroom() {
    return request::for_each_seed(one_seed);
}

} // namespace pollenreel::shift
