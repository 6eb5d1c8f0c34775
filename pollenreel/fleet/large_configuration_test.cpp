// Tests of how a configuration of many routes reaches the instances of a
// region.
#include "pollenreel/fleet/configuration_text.hpp"
#include "pollenreel/fleet/simulated_region.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace pollenreel::fleet::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto bound = 3000ms;
constexpr int routes_at_once = 1400; // 245 KB

// In Mbit/s: those of the widest links relay for the others.
std::vector<double> make_links(std::size_t count, std::size_t wide,
                               double narrow) {
    std::vector<double> links(count, narrow);
    std::fill_n(links.begin(), wide, 200.0);
    return links;
}

void check_known_by_all(const simulated_region& r, std::int64_t written) {
    for (std::size_t i = 0; i < r.size(); ++i) {
        if (!r.dead.contains(i)) {
            CAPTURE(i);
            CHECK(r.configuration_known_by(i) >= written);
        }
    }
}

} // namespace

// Each transfer of a megabyte took longer than its time-out, was thrown away
// and begun anew: instances answered 404 on routes that had been acknowledged
// more than the bound before.
TEST_CASE("a configuration that grows is known within its bound") {
    struct row {
        const char* name;
        std::vector<double> links;
        std::function<void(simulated_region&)> fault;
    };
    const auto none = [](simulated_region&) {};
    const row rows[] = {
        {"some links are wide", make_links(28, 6, 10), none},
        {"requests take half of the narrow links", make_links(28, 6, 5), none},
        {"only the watchers' links are wide", make_links(28, 2, 10), none},
        {"the first relay dies", make_links(28, 6, 10),
         [](simulated_region& r) { r.dead.insert(r.watcher()); }},
        {"a large region", make_links(98, 9, 20), none},
    };
    for (const auto& row : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(row.name);
            CAPTURE(seed);
            simulated_region r(row.links, seed, bound);
            r.advance(5s + std::chrono::milliseconds(seed * 131));
            configuration_text c(seed);
            for (int step = 0; step < 4; ++step) {
                CAPTURE(step);
                c.add_routes(routes_at_once);
                if (step == 2) {
                    row.fault(r);
                }
                r.write("c", c.text());
                const auto written = r.newest_revision();
                r.advance(bound);
                check_known_by_all(r, written);
                r.advance(4s);
            }
        }
    }
}

// The whole configuration was sent to each instance, so that a change of one
// route grew dearer and later with all the others.
TEST_CASE("what a change costs does not grow with the configuration") {
    constexpr std::size_t max_bytes_each = 8192;
    for (const int steps : {1, 4}) {
        CAPTURE(steps);
        simulated_region r(make_links(28, 6, 10), 1, bound);
        r.advance(5s);
        configuration_text c(1);
        c.add_routes(routes_at_once * steps);
        r.write("c", c.text());
        r.advance(10s);
        const auto before = r.relayed_bytes;
        c.change_route();
        r.write("c", c.text());
        const auto written = r.newest_revision();
        r.advance(bound);
        check_known_by_all(r, written);
        CHECK(r.relayed_bytes - before <= max_bytes_each * r.size());
    }
}
