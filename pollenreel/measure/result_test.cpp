#include "pollenreel/measure/result.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;

TEST_CASE("a result is judged by its bound and direction") {
    struct row {
        const char* name;
        double value;
        std::optional<double> bound;
        measure::direction direction;
        bool expected;
    };
    const row rows[] = {
        {"at the upper bound", 1.5, 1.5, measure::direction::at_most, true},
        {"over the upper bound", 1.6, 1.5, measure::direction::at_most, false},
        {"under the lower bound", 0.8, 0.9, measure::direction::at_least,
         false},
        {"not judged", 99, {}, measure::direction::at_most, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        measure::result m{"m", "w", r.value, "x", r.bound, r.direction, {}, 1};
        CHECK(measure::ok(m) == r.expected);
    }
}
