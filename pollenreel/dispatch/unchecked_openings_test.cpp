#include "pollenreel/dispatch/unchecked_openings.hpp"

#include "pollenreel/base/random.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr double bound = 16;
constexpr base::duration length = 60s;
constexpr double length_s = 60;

// Connections that the instances open at random times, `demand` a second to
// each of `targets`; returns those used unchecked, per target and second.
double unchecked_rate(std::size_t instances, std::size_t targets, double demand,
                      std::size_t known_instances) {
    base::random random(7);
    std::vector<unchecked_openings> all(instances);
    const unchecked_query q{bound, known_instances, targets};
    const auto count = static_cast<std::size_t>(
        demand * static_cast<double>(targets) * length_s);
    std::size_t unchecked = 0;
    for (std::size_t n = 0; n < count; ++n) {
        const base::time_point now =
            base::time_point(1h) + length * static_cast<std::int64_t>(n) /
                                       static_cast<std::int64_t>(count);
        auto& one = all[random.below(instances)];
        unchecked += one.allows(q, now, random.unit()) ? 1 : 0;
        one.on_opened(now);
    }
    return static_cast<double>(unchecked) /
           (static_cast<double>(targets) * length_s);
}

} // namespace

// Guards against instances that each send a cold target little and together
// more than the bound.
TEST_CASE("unchecked connections are a fixed part of the cold bound") {
    struct row {
        const char* name;
        std::size_t instances;
        std::size_t targets;
        double demand;
        std::size_t known_instances;
        double least; // used per target and second, of 1
        double most;
    };
    const row rows[] = {
        {"few connections", 76, 100, 0.2, 76, 0.1, 0.2},
        {"many connections", 76, 100, 30, 76, 0.9, 1.1},
        {"1,300 instances", 1300, 1200, 30, 1300, 0.9, 1.1},
        {"1,300 instances, few targets", 1300, 20, 30, 1300, 0.3, 1.1},
        {"one instance", 1, 10, 30, 1, 0.9, 1.1},
        {"unknown instances", 76, 100, 30, 0, 0, 0},
    };
    for (const auto& r : rows) {
        const std::string name = r.name;
        CAPTURE(name);
        const auto rate =
            unchecked_rate(r.instances, r.targets, r.demand, r.known_instances);
        CHECK(rate >= r.least);
        CHECK(rate <= r.most);
    }
}

// Guards against a reserve that all instances use up at once in a burst.
TEST_CASE("a pause gives an instance no reserve of unchecked connections") {
    const unchecked_query q{bound, 1300, 20};
    unchecked_openings o;
    const base::time_point now(1h);
    o.on_opened(now);
    // One second's part is 20 / 1300.
    CHECK(o.allows(q, now + 1s, 0.0153));
    CHECK_FALSE(o.allows(q, now + 1s, 0.0154));
    CHECK_FALSE(o.allows(q, now + 10min, 0.0154));
    CHECK_FALSE(o.allows(q, now + 100ms, 0.0153));
}

TEST_CASE("popular targets get at most twice their part unchecked") {
    CHECK(unchecked_interval({bound, 76, 100}) == 38s);
    CHECK(unchecked_interval({bound, 1300, 100}) == 650s);
    CHECK(unchecked_interval({bound, 0, 100}) == 1h);
}
