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
    membership_fleet f(o);
    f.run_for(2s);
    REQUIRE(f.agreed());
    return f;
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
        membership_fleet f(r.options);
        CHECK(f.run_until(60s, [&] { return f.agreed(); }) < 60s);
        f.run_for(2s);
        for (std::size_t i = 0; i < f.size(); ++i) {
            CHECK(f.node(i).core->contact_count() <= membership::max_contacts);
        }
    }
}

TEST_CASE("a dead instance soon becomes unusable everywhere and stays so") {
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto f = joined_fleet(size);
        f.kill(subject);
        const auto elapsed =
            f.run_until(20s, [&] { return f.namers(subject) == 0; });
        CHECK(elapsed <= 4s);
        f.run_for(4s);
        CHECK(f.namers(subject) == 0);
        CHECK(f.agreed());
    }
}

TEST_CASE("a leaving instance is unusable everywhere within two seconds") {
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto f = joined_fleet(size);
        f.leave(subject);
        CHECK(f.run_until(20s, [&] { return f.namers(subject) == 0; }) <= 2s);
    }
}

TEST_CASE("a paused instance refutes its suspicion and raises none") {
    auto f = joined_fleet({.size = 48});
    f.pause(subject);
    f.run_for(30s);
    CHECK(f.namers(subject) == 0);
    f.resume(subject);
    f.run_for(10s);
    CHECK(f.agreed());
    CHECK(f.node(subject).core->counts().refutations > 0);
    for (std::size_t i = 0; i < f.size(); ++i) {
        if (i != subject) {
            CHECK(f.node(i).core->counts().refutations == 0);
        }
    }
}

TEST_CASE("a restarted instance overrides claims about its past") {
    auto f = joined_fleet({.size = 12});
    const auto stale = f.node(subject).self;
    f.kill(subject);
    f.run_for(5s);
    f.restart(subject);
    CHECK(f.run_until(10s, [&] { return f.agreed(); }) < 10s);
    membership::outbox out;
    auto& other = *f.node(0).core;
    other.receive(peer::news{f.node(1).self.instance,
                             {{}, 0, {{stale, peer::member_state::dead}}, {}}},
                  f.now(), out);
    CHECK(f.names(0, subject));
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
        auto f = joined_fleet(r.options);
        f.cut(0);
        f.run_for(30min);
        if (r.killed != 0) {
            f.kill(r.killed); // in the partitioned region
            f.run_for(20s);
            CHECK(!f.names(0, r.killed));
        }
        if (r.restarted) {
            f.restart(r.killed);
        }
        f.run_for(30min);
        f.set_loss(0);
        f.heal(0);
        f.run_until(2min, [&] { return f.agreed(); });
        CHECK(f.agreed());
    }
}

TEST_CASE("a larger fleet converges after a partition") {
    auto f = joined_fleet({.size = 192, .regions = 4});
    f.cut(0);
    f.run_for(60s);
    f.heal(0);
    CHECK(f.run_until(3min, [&] { return f.agreed(); }) < 3min);
}

TEST_CASE("every instance learns the versions applied by all") {
    const base::config_version version(7);
    for (const std::size_t size : {12, 48, 1300}) {
        CAPTURE(size);
        auto f = joined_fleet(size);
        for (std::size_t i = 0; i < f.size(); ++i) {
            f.node(i).core->set_applied(version);
        }
        const auto known_by = [&](std::size_t by) {
            const auto& all = f.node(by).core->members().all();
            return std::all_of(all.begin(), all.end(), [&](const auto& e) {
                return e.second.applied == version;
            });
        };
        f.run_until(30s, [&] {
            return known_by(0) && known_by(size / 2) && known_by(size - 1);
        });
        CHECK(known_by(0));
        CHECK(known_by(size / 2));
        CHECK(known_by(size - 1));
    }
}

TEST_CASE("the platform's list neither removes nor keeps a member") {
    auto f = joined_fleet({.size = 12});
    auto& core = *f.node(0).core;
    f.kill(subject);
    std::vector<membership::platform_instance> list;
    for (std::size_t i = 0; i < f.size(); ++i) {
        const bool wrongly_leaving = i == 3;
        if (i != 4) { // wrongly missing
            list.push_back({f.node(i).self.instance,
                            f.node(i).self.peer_address, wrongly_leaving});
        }
    }
    core.on_platform_list_changed(list);
    f.run_for(10s);
    CHECK(f.names(0, 3));
    CHECK(f.names(0, 4));
    CHECK(!f.names(0, subject));
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
