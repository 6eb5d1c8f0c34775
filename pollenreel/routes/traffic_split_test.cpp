#include "pollenreel/routes/traffic_split.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace pollenreel;

TEST_CASE("requests are divided by weight") {
    struct row {
        const char* name;
        std::vector<std::pair<const char*, double>> services;
        std::map<std::string, double> expected; // part of the requests
    };
    const row rows[] = {
        {"one service", {{"a", 3}}, {{"a", 1}}},
        {"two services", {{"a", 90}, {"b", 10}}, {{"a", 0.9}, {"b", 0.1}}},
        {"fractions", {{"a", 0.5}, {"b", 1.5}}, {{"a", 0.25}, {"b", 0.75}}},
        {"a service listed twice",
         {{"a", 1}, {"b", 2}, {"a", 1}},
         {{"a", 0.5}, {"b", 0.5}}},
        {"a weight of zero at the end", {{"a", 1}, {"b", 0}}, {{"a", 1}}},
        {"a weight of zero at the start", {{"a", 0}, {"b", 1}}, {{"b", 1}}},
        {"very different weights",
         {{"a", 1e-9}, {"b", 1e9}, {"c", 0}},
         {{"b", 1}}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        routes::route route;
        for (const auto& [service, weight] : r.services) {
            route.services.push_back({base::service_id(service), weight});
        }
        constexpr int draws = 10'000;
        std::map<std::string, int> counts;
        for (int i = 0; i < draws; ++i) {
            const double draw = (i + 0.5) / draws;
            ++counts[routes::select_service(route, draw).str()];
        }
        CHECK(counts.size() == r.expected.size());
        for (const auto& expected : r.expected) {
            CAPTURE(expected.first);
            CHECK(counts[expected.first] ==
                  doctest::Approx(expected.second * draws).epsilon(0.001));
        }
        // Rounding may leave a rest at the end of the range.
        const auto last =
            routes::select_service(route, 0.99999999999999994).str();
        CHECK(r.expected.contains(last));
    }
}
