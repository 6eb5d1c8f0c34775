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

TEST_CASE("a result is one JSON object on one line") {
    measure::result r;
    r.measure = "tail";
    r.workload = "a \"quoted\" one";
    r.value = 1.25;
    r.unit = "x clean";
    r.bound = 1.5;
    r.seed = 3;
    CHECK(
        measure::to_json_line(r) ==
        R"({"measure":"tail","workload":"a \"quoted\" one","value":1.25,)"
        R"("unit":"x clean","bound":1.5,"baseline":null,"seed":3,"ok":true})");
}
