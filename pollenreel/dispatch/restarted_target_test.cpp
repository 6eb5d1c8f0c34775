// What an instance learned of one run of a target's process must not decide
// about the next run under the same id.
#include "pollenreel/dispatch/cold_quota.hpp"
#include "pollenreel/dispatch/core_test_support.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace pollenreel::dispatch::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t other_instances = 294;

// Idempotent requests to one target, which is warm.
class restart_driver : public driver {
public:
    explicit restart_driver(std::size_t others)
        : driver(true, 1), m_others(others) {
        show_incarnation(1);
    }

    void show_incarnation(std::int64_t incarnation) {
        publish(true, 1, {}, incarnation, true, m_others);
    }

    // A request that the target answers, with that load.
    void serve(const std::string& object, const request::target_load& load) {
        const auto id = opened(arrive("/orders/" + object, object));
        handle(request::attempt_connected{id});
        auto r = answered(200);
        r.load = load;
        handle(request::attempt_answered{id, r});
    }

    // Two attempts in flight break, which ejects the target.
    void crash() {
        const auto first = opened(arrive());
        const auto second = opened(arrive());
        for (const auto id : {first, second}) {
            handle(request::attempt_connected{id});
        }
        for (const auto id : {first, second}) {
            handle(request::attempt_lost{id});
        }
    }

private:
    std::size_t m_others;
};

} // namespace

// Of 295 instances 287 have no part of the cold rate, and sent nothing more to
// a target that had failed twice: a target that they eject is treated as cold
// until it answers, which needs a request.
// Known red (KNOWN-RED.txt).
TEST_CASE("an ejected target is used again by instances without a cold quota" *
          doctest::may_fail()) {
    struct row {
        const char* name;
        std::size_t others;
        std::int64_t incarnation; // after the failures
        std::size_t quota;        // requests to a cold target
    };
    const row rows[] = {
        {"a quota, the connections broke", 0, 1, 8},
        {"a quota, the target restarted", 0, 2, 8},
        {"no quota, the connections broke", other_instances, 1, 0},
        {"no quota, the target restarted", other_instances, 2, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        restart_driver d(r.others);
        std::vector<fleet::instance> all(1 + r.others);
        for (std::size_t i = 0; i < all.size(); ++i) {
            all[i].id = base::instance_id("i-" + std::to_string(i + 1));
        }
        REQUIRE(cold_quota(16.4, base::target_id("t-0"), all.front().id, all) ==
                r.quota);
        d.crash();
        d.show_incarnation(r.incarnation);
        // The longest ejection, and the time that a target stays cold.
        d.now += 10s;
        CHECK(find<open_attempt>(d.arrive()) != nullptr);
    }
}

// A target that restarted within seconds was taken for loaded, or for holding
// the objects of the process before, and stayed ejected for up to 4 s.
TEST_CASE("a new start of a target has neither load, cache nor failures") {
    restart_driver before(0);
    before.serve("7", {6, 0, 4, 100});
    const auto known = before.arrive("/orders/7", "7");
    REQUIRE(find<open_attempt>(known) != nullptr);
    CHECK(find<open_attempt>(known)->record.chosen.kind.seen);
    CHECK(find<open_attempt>(known)->record.chosen.occupancy > 4);

    restart_driver loaded(0);
    loaded.serve("7", {6, 0, 4, 100});
    loaded.now += 200ms;
    loaded.show_incarnation(2);
    const auto fresh = loaded.arrive("/orders/7", "7");
    REQUIRE(find<open_attempt>(fresh) != nullptr);
    CHECK_FALSE(find<open_attempt>(fresh)->record.chosen.kind.seen);
    CHECK(find<open_attempt>(fresh)->record.chosen.occupancy == 0);

    restart_driver failed(0);
    failed.crash();
    CHECK(find<open_attempt>(failed.arrive()) == nullptr);
    failed.now += 200ms;
    failed.show_incarnation(2);
    CHECK(find<open_attempt>(failed.arrive()) != nullptr);
}

// Attempts at the process before broke after the report of the new one, which
// was then ejected.
TEST_CASE("failures of the former process do not count against the next one") {
    restart_driver d(0);
    const auto first = opened(d.arrive());
    const auto second = opened(d.arrive());
    for (const auto id : {first, second}) {
        d.handle(request::attempt_connected{id});
    }
    d.show_incarnation(2);
    for (const auto id : {first, second}) {
        d.handle(request::attempt_lost{id});
    }
    CHECK(find<open_attempt>(d.arrive()) != nullptr);
}

// An outage shortened the list, and each listed instance took the connections
// of a target for a smaller fleet.
TEST_CASE("instances that leave the list keep their part of the connections") {
    struct row {
        const char* name;
        base::duration missing;
        std::uint32_t connections; // of 100
    };
    const row rows[] = {
        {"still listed", 0s, 12},
        {"just gone", 100ms, 12},
        {"gone for good", 61s, 100},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(true, 1);
        d.publish(true, 1, {}, 1, true, 7);
        if (r.missing > 0s) {
            d.publish(true, 1, {}, 1, true, 0);
            d.now += r.missing;
            d.publish(true, 1, {}, 1, true, 0);
        }
        const auto out = d.arrive();
        REQUIRE(find<open_attempt>(out) != nullptr);
        CHECK(find<open_attempt>(out)->open.max_connections == r.connections);
    }
}

// While the store turned instances away they went on sending. Those that it
// still served dropped them from the list, and each took all for itself.
TEST_CASE("instances that leave the list keep their part of the cold rate") {
    struct row {
        const char* name;
        base::duration missing;
        std::size_t sent; // to a cold target in a second
    };
    const row rows[] = {
        {"still listed", 0s, 1},
        {"just gone", 100ms, 1},
        {"gone for as long as an outage lasts", 30s, 1},
        {"gone for good", 61s, 8},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        constexpr std::size_t others = 7;
        driver d(true, 1);
        const auto show = [&](std::size_t listed) {
            d.publish(true, 1, d.now + 100s, 1, true, listed);
        };
        show(others);
        if (r.missing > 0s) {
            show(0);
            d.now += r.missing;
            show(0);
        }
        std::size_t sent = 0;
        for (int i = 0; i < 20; ++i) {
            const auto out = d.arrive();
            if (const auto* open = find<open_attempt>(out)) {
                d.handle(request::attempt_connected{open->open.attempt});
                ++sent;
            }
        }
        CHECK(sent == r.sent);
    }
}
