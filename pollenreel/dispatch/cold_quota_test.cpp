// What all instances together send to a cold target.
#include "pollenreel/dispatch/cold_quota.hpp"
#include "pollenreel/dispatch/core_test_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace pollenreel::dispatch::testing;
using namespace std::chrono_literals;

namespace {

base::instance_id id_of(std::size_t number) {
    return base::instance_id("i-" + std::to_string(number));
}

// Instances 1 to `count`.
std::vector<fleet::instance> first_instances(std::size_t count) {
    std::vector<fleet::instance> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i].id = id_of(i + 1);
    }
    return all;
}

// Instances with the same view. The group that was cut off last has the
// shortest list: the others are missing there.
struct group {
    std::size_t first; // number of its first instance
    std::size_t last;
    std::size_t known; // instances 1 to this one
    base::duration contact_age = 0s;
};

double sum_of_quotas(const std::vector<group>& groups, double bound,
                     const base::target_id& target) {
    double sum = 0;
    for (const auto& g : groups) {
        const auto known = first_instances(g.known);
        for (auto i = g.first; i <= g.last; ++i) {
            sum +=
                static_cast<double>(cold_quota(bound, target, id_of(i), known));
        }
    }
    return sum;
}

} // namespace

TEST_CASE("cold quotas hold the bound with views of two ages") {
    struct row {
        const char* name;
        std::vector<group> groups;
        std::size_t targets;
    };
    const row rows[] = {
        {"8 instances", {{1, 8, 8}}, 50},
        {"61 instances", {{1, 61, 61}}, 50},
        {"89 instances", {{1, 89, 89}}, 50},
        {"295 instances", {{1, 295, 295}}, 20},
        {"1,300 instances", {{1, 1300, 1300}}, 3},
        {"31 of 61 were cut off", {{31, 61, 61}, {1, 30, 30}}, 200},
        {"4 of 8 were cut off", {{5, 8, 8}, {1, 4, 4}}, 200},
        {"100 of 295 were cut off", {{196, 295, 295}, {1, 195, 195}}, 20},
        {"one of 61 knows itself alone", {{2, 61, 61}, {1, 1, 1}}, 50},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        for (const double bound : {15.1, 15.5, 16.4, 16.7}) {
            CAPTURE(bound);
            double most = 0;
            for (std::size_t t = 0; t < r.targets; ++t) {
                const base::target_id target("t-" + std::to_string(t));
                most = std::max(most, sum_of_quotas(r.groups, bound, target));
            }
            CHECK(most <= bound);
            CHECK(most >= 4); // a cold target is warmed up
        }
    }
}

// Instances that were cut off at different times know different parts of the
// fleet, and each group gave the whole allocation to its own members.
TEST_CASE("instances cut off one after the other hold a cold target's bound") {
    constexpr double bound = 16.4; // of the driver's settings
    constexpr std::size_t targets = 30;
    struct row {
        const char* name;
        std::vector<group> groups;
    };
    const row rows[] = {
        {"one region", {{42, 61, 61, 10s}, {1, 41, 41}}},
        {"two regions", {{42, 61, 61, 20s}, {21, 41, 41, 10s}, {1, 20, 20}}},
        {"a region, and then a quarter of the rest",
         {{42, 61, 61, 20s}, {32, 41, 41, 10s}, {1, 31, 31}}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::map<base::target_id, int> sent;
        for (const auto& g : r.groups) {
            for (auto i = g.first; i <= g.last; ++i) {
                auto o = driver::make_options();
                o.self = id_of(i);
                driver d(true, targets, o);
                d.publish(true, targets, d.now + 3s, 1, true, g.known - 1,
                          g.contact_age);
                for (std::size_t n = 0; n < 2 * targets; ++n) {
                    const auto out = d.arrive("/orders/7", std::to_string(n));
                    if (const auto* open = find<open_attempt>(out)) {
                        ++sent[open->open.target.id];
                    }
                }
            }
        }
        int most = 0;
        for (const auto& [target, count] : sent) {
            most = std::max(most, count);
        }
        CHECK(most <= bound);
        CHECK(most >= 4);
    }
}
