#include "pollenreel/dispatch/check_peers.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace pollenreel;
using namespace pollenreel::dispatch;

namespace {

std::vector<fleet::instance> make_instances(std::size_t count,
                                            std::size_t regions) {
    std::vector<fleet::instance> all;
    for (std::size_t n = 0; n < count; ++n) {
        fleet::instance one;
        one.id = base::instance_id("i-" + std::to_string(n));
        one.region = base::region_id("r-" + std::to_string(n % regions));
        one.relay_endpoint =
            base::endpoint{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
        all.push_back(one);
    }
    return all;
}

} // namespace

// Guards against peers that more instances ask than their listener takes
// connections, and against instances that need a connection to every other one.
TEST_CASE("instances ask few peers, and a peer is asked by few") {
    struct row {
        const char* name;
        std::size_t instances;
        std::size_t regions;
        std::size_t peers; // of an instance in each other region
    };
    const row rows[] = {
        {"one region", 8, 1, 0},
        {"fewer instances than peers", 8, 3, 2},
        {"76 instances", 76, 3, 4},
        {"1,300 instances", 1300, 29, 4},
    };
    // As in relay::listener and relay::check_client.
    constexpr std::size_t most_connections = 512;
    constexpr std::size_t connections_of_each = 2;
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto all = make_instances(r.instances, r.regions);
        std::map<base::endpoint, std::size_t> asked_by;
        for (const auto& self : all) {
            const auto peers = choose_check_peers(self.id, self.region, all);
            CHECK_FALSE(peers.contains(self.region));
            CHECK(peers.size() == r.regions - 1);
            for (const auto& [region, in_region] : peers) {
                CHECK(in_region.size() >= r.peers);
                CHECK(in_region.size() <= 4);
                for (const auto& p : in_region) {
                    ++asked_by[p.at];
                }
            }
        }
        for (const auto& [at, count] : asked_by) {
            CHECK(count * connections_of_each <= most_connections);
        }
    }
}

TEST_CASE("instances of a group ask the same peer about a target") {
    const auto all = make_instances(60, 3);
    const base::region_id elsewhere("r-1");
    std::set<std::vector<base::endpoint>> orders;
    std::set<base::endpoint> first;
    for (const auto& self : all) {
        if (self.region == elsewhere) {
            continue;
        }
        const auto peers = choose_check_peers(self.id, self.region, all);
        for (int t = 0; t < 20; ++t) {
            const auto order = order_check_peers(
                peers.at(elsewhere), base::target_id(std::to_string(t)));
            REQUIRE(order.size() == 2);
            CHECK(order[0] != order[1]);
            first.insert(order[0]);
            if (t == 0) {
                orders.insert(order);
            }
        }
    }
    CHECK(orders.size() == 1);
    // Different targets are checked by different peers.
    CHECK(first.size() == 4);
}
