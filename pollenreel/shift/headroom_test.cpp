#include "pollenreel/shift/headroom.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start{1h};
// Slots that spilled work may fill of the 100 in each row.
constexpr double fill = 100 * shift::max_spill_fill;

} // namespace

TEST_CASE("an entry gets its part of the free slots") {
    struct row {
        const char* name;
        shift::place_load load;
        base::duration reported_after;
        base::duration queried_after;
        double allowed;
    };
    const row rows[] = {
        {"its part of the free slots",
         {100, 50, 0, 4},
         10s,
         10s,
         (fill - 50) / 4},
        {"in addition to what it had",
         {100, 70, 6, 4},
         10s,
         10s,
         6 + (fill - 70) / 4},
        {"less than it had when others fill the region",
         {100, 98, 6, 4},
         10s,
         10s,
         6 - (98 - fill) / 4},
        {"nothing is added on an outdated report",
         {100, 50, 6, 4},
         10s,
         16s,
         6},
    };
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        shift::headroom headroom;
        headroom.on_report({100, 90, 0, 4}, start);
        headroom.on_report(r.load, start + r.reported_after);
        CHECK(headroom.allowed(start + r.queried_after) ==
              doctest::Approx(r.allowed));
    }
}

TEST_CASE("work returns after a delay and gradually") {
    struct row {
        const char* name;
        base::duration at;
        bool own_available;
        double local_fraction;
    };
    const row rows[] = {
        {"healthy", 0s, true, 1},          {"failed", 1s, false, 0},
        {"recovered", 2s, true, 0},        {"failed again", 5s, false, 0},
        {"recovered again", 10s, true, 0}, {"half returned", 35s, true, 0.5},
        {"all returned", 50s, true, 1},
    };
    shift::failback r;
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        r.observe(row.own_available, start + row.at);
        CHECK(r.local_fraction(start + row.at) ==
              doctest::Approx(row.local_fraction));
    }
}
