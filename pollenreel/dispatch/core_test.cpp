#include "pollenreel/dispatch/core_test_support.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace pollenreel::dispatch::testing;
using namespace std::chrono_literals;
using request::outcome;
using request::reason;

TEST_CASE("a request that cannot be routed is refused as not run") {
    struct row {
        const char* name;
        bool view;
        const char* path;
        std::size_t targets;
        reason expected;
        bool is_retryable;
    };
    const row rows[] = {
        {"no configuration yet", false, "/orders/1", 1,
         reason::no_configuration, true},
        {"a path without a route", true, "/other/1", 1, reason::unknown_route,
         false},
        {"a route that could not be read", true, "/withheld/1", 1,
         reason::unreadable_route, true},
        {"no target", true, "/orders/1", 0, reason::no_target, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        core c(driver::make_options());
        driver d(true, r.targets);
        const auto out =
            r.view
                ? d.arrive(r.path)
                : c.handle(
                      arrival{
                          base::request_id(1), "shop.example", r.path, "", {}},
                      d.now);
        const auto* refused = find<refuse>(out);
        REQUIRE(refused != nullptr);
        CHECK(refused->refusal.outcome == outcome::not_run);
        CHECK(refused->refusal.reason == r.expected);
        CHECK(refused->retry_after.has_value() == r.is_retryable);
    }
}

TEST_CASE("a request that may have run is repeated only if it is idempotent") {
    enum class fault { connect, lost, shed, error, misplaced };
    struct row {
        const char* name;
        fault kind;
        bool idempotent;
        bool repeated;
        outcome final_outcome; // if it is not repeated
    };
    const row rows[] = {
        {"not idempotent, connect failed", fault::connect, false, true, {}},
        {"idempotent, connect failed", fault::connect, true, true, {}},
        {"not idempotent, answer lost", fault::lost, false, false,
         outcome::unknown},
        {"idempotent, answer lost", fault::lost, true, true, {}},
        {"not idempotent, shed", fault::shed, false, true, {}},
        {"idempotent, shed", fault::shed, true, true, {}},
        {"not idempotent, sent to another target's address",
         fault::misplaced,
         false,
         true,
         {}},
        {"idempotent, server error", fault::error, true, true, {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(r.idempotent);
        const auto id = opened(d.arrive());
        effects out;
        if (r.kind == fault::connect) {
            out = d.handle(request::attempt_connect_failed{id});
        } else {
            REQUIRE(find<request::send_attempt>(
                        d.handle(request::attempt_connected{id})) != nullptr);
            d.now += 10ms;
            if (r.kind == fault::lost) {
                out = d.handle(request::attempt_lost{id});
            } else {
                auto facts = r.kind == fault::error ? answered(500) : shed();
                facts.wrong_target = r.kind == fault::misplaced;
                out = d.handle(request::attempt_answered{id, facts});
            }
        }
        const auto* again = find<open_attempt>(out);
        CHECK((again != nullptr) == r.repeated);
        if (again != nullptr) {
            CHECK(again->record.cause == attempt_cause::repeat);
        } else {
            REQUIRE(find<refuse>(out) != nullptr);
            CHECK(find<refuse>(out)->refusal.outcome == r.final_outcome);
        }
    }
}

TEST_CASE("a server error is forwarded if the request is not idempotent") {
    driver d(false);
    const auto id = opened(d.arrive());
    d.handle(request::attempt_connected{id});
    const auto out = d.handle(request::attempt_answered{id, answered(500)});
    CHECK(find<request::forward_response>(out) != nullptr);
    CHECK(d.tested_core().requests_in_flight() == 0);
}

TEST_CASE("a request is sent to no more targets than its route allows") {
    driver d(true, 5);
    auto out = d.arrive();
    int sent = 0;
    while (const auto* open = find<open_attempt>(out)) {
        const auto id = open->open.attempt;
        d.handle(request::attempt_connected{id});
        ++sent;
        out = d.handle(request::attempt_lost{id});
    }
    CHECK(sent == 2);
    REQUIRE(find<refuse>(out) != nullptr);
    CHECK(find<refuse>(out)->refusal.outcome == outcome::unknown);
}

// The first attempt failed, and while the second one was connecting the hedge's
// time came: a third target ran the request (BUDGET).
TEST_CASE("attempts that are connecting count towards the route's limit") {
    struct row {
        const char* name;
        bool first_fails; // and is repeated before the hedge is due
        bool hedged;
    };
    const row rows[] = {
        {"a hedge beside the first attempt", false, true},
        {"a hedge while the second attempt connects", true, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(true, 5);
        const auto first = opened(d.arrive());
        d.handle(request::attempt_connected{first});
        d.now += 100ms;
        if (r.first_fails) {
            const auto out =
                d.handle(request::attempt_answered{first, answered(500)});
            CHECK(find<open_attempt>(out) != nullptr);
        }
        d.now += 400ms; // past the time of the hedge
        const auto out = d.handle(tick{});
        CHECK((find<open_attempt>(out) != nullptr) == r.hedged);
        // A target cannot be reached: its place is free again.
        if (r.first_fails) {
            const auto second = request::attempt_connect_failed{
                base::attempt_id(first.value() + 1)};
            CHECK(find<open_attempt>(d.handle(second)) != nullptr);
        }
    }
}

TEST_CASE(
    "a request that exceeds its route's timeout ends with the right outcome") {
    struct row {
        const char* name;
        bool connected;
        outcome expected;
    };
    const row rows[] = {
        {"while connecting", false, outcome::not_run},
        {"after sending", true, outcome::unknown},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(false);
        const auto id = opened(d.arrive());
        if (r.connected) {
            d.handle(request::attempt_connected{id});
        }
        d.now += 1200ms;
        CHECK(d.tested_core().next_wakeup() <= d.now);
        const auto out = d.handle(tick{});
        REQUIRE(find<refuse>(out) != nullptr);
        CHECK(find<refuse>(out)->refusal.outcome == r.expected);
        CHECK(find<request::abandon_attempt>(out) != nullptr);
        // Later events for the attempt are ignored.
        CHECK(d.handle(request::attempt_answered{id, answered(200)}).empty());
    }
}

TEST_CASE("a request whose caller left is cancelled at the target") {
    driver d(false);
    const auto id = opened(d.arrive());
    d.handle(request::attempt_connected{id});
    const auto out = d.handle(caller_gone{base::request_id(1)});
    REQUIRE(out.size() == 1);
    CHECK(find<request::abandon_attempt>(out) != nullptr);
    CHECK(d.tested_core().requests_in_flight() == 0);
}

TEST_CASE("a cold target gets no more requests than this instance's quota") {
    driver d(true, 1);
    d.publish(true, 1, d.now + 10s);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        const auto out = d.arrive();
        if (const auto* open = find<open_attempt>(out)) {
            ++sent;
            d.handle(request::attempt_connected{open->open.attempt});
            d.handle(
                request::attempt_answered{open->open.attempt, answered(200)});
        } else {
            CHECK(find<refuse>(out)->refusal.outcome == outcome::not_run);
        }
        d.now += 10ms;
    }
    CHECK(sent > 0);
    CHECK(sent <= 7.6 * 1.5 + 5);
}

TEST_CASE(
    "a target at another target's address is unused until its entry changes") {
    driver d(false, 1);
    const auto id = opened(d.arrive());
    d.handle(request::attempt_connected{id});
    auto facts = shed();
    facts.wrong_target = true;
    d.handle(request::attempt_answered{id, facts});
    CHECK(find<refuse>(d.arrive())->refusal.reason == reason::no_target);
    d.publish(false, 1, {}); // with an unchanged entry
    CHECK(find<refuse>(d.arrive())->refusal.reason == reason::no_target);
}

// Each instance that does not know the others took the whole of what all
// together may send to a cold target (FAILBACK), or repeat.
TEST_CASE("an instance that does not know the others leaves them the shared") {
    for (const bool known : {true, false}) {
        CAPTURE(known);
        driver d(true);
        d.publish(true, 3, d.now + 10s, 1, known);
        CHECK((find<open_attempt>(d.arrive()) != nullptr) == known);
        d.publish(true, 3, {}, 1, known);
        const auto first = opened(d.arrive());
        d.handle(request::attempt_connected{first});
        const auto then = d.handle(request::attempt_lost{first});
        CHECK((find<open_attempt>(then) != nullptr) == known);
    }
}

TEST_CASE("requests for an object go to one target while it has free slots") {
    driver d(true, 3);
    std::map<base::target_id, int> by_target;
    for (int i = 0; i < 20; ++i) {
        const auto out = d.arrive("/orders/7", "7");
        const auto* open = find<open_attempt>(out);
        REQUIRE(open != nullptr);
        ++by_target[open->record.target];
        d.handle(request::attempt_connected{open->open.attempt});
        d.now += 100ms;
        d.handle(request::attempt_answered{open->open.attempt, answered(200)});
    }
    CHECK(by_target.size() == 1);
}

// Guards against a position cost that is too low: a short queue would move an
// object to a target that has not cached it.
TEST_CASE("a request queues at the target that has its object cached") {
    driver d(true, 3);
    std::map<base::target_id, int> by_target;
    constexpr int slots_and_queue = 8; // four run, four wait
    for (int i = 0; i < slots_and_queue; ++i) {
        const auto out = d.arrive("/orders/7", "7");
        const auto* open = find<open_attempt>(out);
        REQUIRE(open != nullptr);
        ++by_target[open->record.target];
        d.handle(request::attempt_connected{open->open.attempt});
    }
    CHECK(by_target.size() == 1);
}

TEST_CASE("requests beyond the capacity of all slots are refused at once") {
    driver d(true, 2);
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        const auto out = d.arrive("/orders/7", std::to_string(i));
        if (const auto* refused_now = find<refuse>(out)) {
            ++refused;
            CHECK(refused_now->refusal.outcome == outcome::not_run);
            CHECK(refused_now->refusal.reason == reason::overloaded);
            CHECK(refused_now->retry_after.has_value());
            CHECK(refused_now->waited == 0ms);
        } else {
            d.handle(request::attempt_connected{opened(out)});
        }
    }
    CHECK(refused > 100);
    CHECK(refused < 196);
}

// Requests that came late in the grace time were sent to a target and cut off
// at its end (LOST). Their route's time-out is 1200 ms.
TEST_CASE("a stopping instance takes only requests that can end in time") {
    struct row {
        const char* name;
        std::chrono::milliseconds until_stop; // when the request arrives
        std::chrono::milliseconds time_left;  // of its caller
        bool taken;
    };
    const row rows[] = {
        {"far from the end", 5000ms, 3000ms, true},
        {"the time-out just fits", 1200ms, 3000ms, true},
        {"the time-out does not fit", 1199ms, 3000ms, false},
        {"the caller does not wait for so long", 500ms, 400ms, true},
        {"at the end", 0ms, 3000ms, false},
        {"after the end", -100ms, 3000ms, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(false);
        const auto before = opened(d.arrive());
        d.handle(request::attempt_connected{before});
        d.handle(stop_requested{d.now + 5000ms});
        CHECK_FALSE(d.tested_core().ready());
        d.now += 5000ms - r.until_stop;
        const auto out = d.handle(arrival{base::request_id(100), "shop.example",
                                          "/orders/7", "7", r.time_left});
        CHECK((find<open_attempt>(out) != nullptr) == r.taken);
        const auto* refused = find<refuse>(out);
        REQUIRE((refused == nullptr) == r.taken);
        if (refused != nullptr) {
            CHECK(refused->refusal.outcome == outcome::not_run);
            CHECK(refused->refusal.reason == reason::stopping);
            CHECK(refused->retry_after.has_value());
        }
    }
}
