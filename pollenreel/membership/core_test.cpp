#include "pollenreel/membership/core.hpp"

#include "testing/membership_fleet.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::fleet_options;
using testing::membership_fleet;

constexpr std::size_t subject = 5;

membership_fleet joined_fleet(fleet_options o) {
    o.joined = true;
    membership_fleet fleet(o);
    fleet.run_for(2s);
    REQUIRE(fleet.agreed());
    return fleet;
}

membership_fleet joined_fleet(std::size_t size) {
    return joined_fleet({.size = size, .regions = size > 100 ? 29U : 3U});
}

} // namespace

TEST_CASE("a fleet of any size converges from its seeds") {
    struct row {
        const char* name;
        fleet_options options;
    };
    const row rows[] = {
        {"12", {.size = 12}},
        {"48", {.size = 48}},
        {"192", {.size = 192, .regions = 4}},
        {"48 with loss", {.size = 48, .loss = 0.1}},
        {"48 with duplication, delay and reordering",
         {.size = 48, .doubling = 0.2, .jitter = 200ms}},
    };
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        membership_fleet fleet(r.options);
        CHECK(fleet.run_until(60s, [&] { return fleet.agreed(); }) < 60s);
        fleet.run_for(2s);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            CHECK(fleet.node(i).core->contact_count() <=
                  membership::max_contacts);
        }
    }
}

TEST_CASE("a dead instance soon becomes unusable everywhere and stays so") {
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto fleet = joined_fleet(size);
        fleet.kill(subject);
        const auto elapsed =
            fleet.run_until(20s, [&] { return fleet.namers(subject) == 0; });
        CHECK(elapsed <= 4s);
        fleet.run_for(4s);
        CHECK(fleet.namers(subject) == 0);
        CHECK(fleet.agreed());
    }
}

TEST_CASE("a leaving instance is unusable everywhere within two seconds") {
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto fleet = joined_fleet(size);
        fleet.leave(subject);
        CHECK(fleet.run_until(
                  20s, [&] { return fleet.namers(subject) == 0; }) <= 2s);
    }
}

TEST_CASE("a paused instance refutes its suspicion and raises none") {
    auto fleet = joined_fleet({.size = 48});
    fleet.pause(subject);
    fleet.run_for(30s);
    CHECK(fleet.namers(subject) == 0);
    fleet.resume(subject);
    fleet.run_for(10s);
    CHECK(fleet.agreed());
    CHECK(fleet.node(subject).core->counts().refutations > 0);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != subject) {
            CHECK(fleet.node(i).core->counts().refutations == 0);
        }
    }
}

TEST_CASE("a restarted instance overrides claims about its past") {
    auto fleet = joined_fleet({.size = 12});
    const auto stale = fleet.node(subject).self;
    fleet.kill(subject);
    fleet.run_for(5s);
    fleet.restart(subject);
    CHECK(fleet.run_until(10s, [&] { return fleet.agreed(); }) < 10s);
    membership::outbox out;
    auto& other = *fleet.node(0).core;
    other.receive(peer::news{fleet.node(1).self.instance,
                             {{}, 0, {{stale, peer::member_state::dead}}, {}}},
                  fleet.now(), out);
    CHECK(fleet.names(0, subject));
}

TEST_CASE("regions partitioned for an hour converge again") {
    struct row {
        const char* name;
        fleet_options options;
        std::size_t killed; // during the partition; 0: none
        bool restarted;     // during the partition
    };
    const row rows[] = {
        {"12", {.size = 12}, 0, false},
        {"48", {.size = 48}, 0, false},
        {"with a death during the partition", {.size = 12}, 3, false},
        {"with a restart during the partition", {.size = 12}, 3, true},
        {"with loss", {.size = 12, .loss = 0.1}, 0, false},
    };
    for (const auto& r : rows) {
        INFO(std::string(r.name));
        auto fleet = joined_fleet(r.options);
        fleet.cut(0);
        fleet.run_for(30min);
        if (r.killed != 0) {
            fleet.kill(r.killed); // in the partitioned region
            fleet.run_for(20s);
            CHECK(!fleet.names(0, r.killed));
        }
        if (r.restarted) {
            fleet.restart(r.killed);
        }
        fleet.run_for(30min);
        fleet.set_loss(0);
        fleet.heal(0);
        fleet.run_until(2min, [&] { return fleet.agreed(); });
        CHECK(fleet.agreed());
    }
}

TEST_CASE("a larger fleet converges after a partition") {
    auto fleet = joined_fleet({.size = 192, .regions = 4});
    fleet.cut(0);
    fleet.run_for(60s);
    fleet.heal(0);
    CHECK(fleet.run_until(3min, [&] { return fleet.agreed(); }) < 3min);
}

TEST_CASE("every instance learns the versions applied by all") {
    const base::config_version version(7);
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto fleet = joined_fleet(size);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.node(i).core->set_applied(version);
        }
        const auto known_by = [&](std::size_t by) {
            const auto& all = fleet.node(by).core->members().all();
            return std::all_of(all.begin(), all.end(), [&](const auto& e) {
                return e.second.applied == version;
            });
        };
        fleet.run_until(30s, [&] {
            return known_by(0) && known_by(size / 2) && known_by(size - 1);
        });
        CHECK(known_by(0));
        CHECK(known_by(size / 2));
        CHECK(known_by(size - 1));
    }
}

TEST_CASE("the platform's list neither removes nor keeps a member") {
    auto fleet = joined_fleet({.size = 12});
    auto& core = *fleet.node(0).core;
    fleet.kill(subject);
    std::vector<membership::platform_instance> list;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const bool wrongly_leaving = i == 3;
        if (i != 4) { // wrongly missing
            list.push_back({fleet.node(i).self.instance,
                            fleet.node(i).self.peer_address, wrongly_leaving});
        }
    }
    core.on_platform_list_changed(list);
    fleet.run_for(10s);
    CHECK(fleet.names(0, 3));
    CHECK(fleet.names(0, 4));
    CHECK(!fleet.names(0, subject));
}

TEST_CASE("the platform's list introduces members without seeds") {
    const peer::member known{base::instance_id("b"),
                             base::failure_domain_id("khomas-a"),
                             {"10.0.0.1", 2},
                             {"10.0.0.2", 2},
                             1,
                             false};
    auto self = known;
    self.instance = base::instance_id("a");
    self.peer_address.port = 1;
    constexpr base::time_point start{1h};
    membership::core c(self, {}, 1, start);
    const membership::platform_instance list[] = {
        {known.instance, known.peer_address, false}};
    c.on_platform_list_changed(list);
    membership::outbox out;
    c.tick(start, out);
    REQUIRE(out.size() == 1);
    CHECK(out[0].to == known.peer_address);
}
