#include "pollenreel/request/lanes.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::lane;

constexpr base::time_point start{1h};
const base::target_id own("ledger-1");
const base::target_id shared("ledger-2");
const base::target_id short_target("ledger-3");

// Two targets for long work and one for short work, shared by two threads. This
// thread owns one slot of the first target.
request::service_plan make_plan() {
    request::service_plan p;
    p.short_targets = {short_target};
    p.long_targets = {own, shared};
    p.own_long_slots[own] = 1;
    p.slots = 30;
    p.short_slots = 10;
    p.fleet_threads = 2;
    return p;
}

} // namespace

TEST_CASE("a full queue evicts the request of lowest priority") {
    struct row {
        const char* name;
        std::uint32_t priority;
        std::optional<base::request_id> evicted;
        std::size_t ahead;
    };
    const row rows[] = {
        {"a new request of higher priority", 0, base::request_id(2), 0},
        {"a new request of equal priority", 3, base::request_id(9), 2},
        {"a new request of lower priority", 5, base::request_id(9), 2},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::request_queue queue;
        CHECK(!queue.push(base::request_id(1), 3, 2));
        CHECK(!queue.push(base::request_id(2), 3, 2));
        CHECK(queue.count_ahead(r.priority) == r.ahead);
        CHECK(queue.push(base::request_id(9), r.priority, 2) == r.evicted);
        CHECK(queue.size() == 2);
        CHECK(queue.front() == base::request_id(r.priority == 0 ? 9 : 1));
    }
}

TEST_CASE("long work uses own slots, then idle ones, then waits") {
    struct row {
        const char* name;
        int running_short;
        int running_long;
        int lent_slots;
        std::vector<base::target_id> expected;
    };
    const row rows[] = {
        {"its own slot first", 0, 0, 0, {own}},
        {"then slots that short work leaves idle", 0, 1, 0, {short_target}},
        {"then a borrowed slot of the long targets",
         0,
         1 + 4,
         4,
         {own, shared}},
        {"busy short work lends no slots", 5, 1, 0, {own, shared}},
        {"then it waits", 5, 2, 0, {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::lanes l;
        request::target_tracker tracker;
        for (int i = 0; i < r.running_short; ++i) {
            l.on_started(lane::short_work, start);
        }
        for (int i = 0; i < r.running_long; ++i) {
            l.on_started(lane::long_work, start);
        }
        for (int i = 0; i < r.lent_slots; ++i) {
            l.on_slot_lent();
        }
        if (r.running_long > 0) {
            tracker.on_started(base::attempt_id(1), own, 1s, start);
        }
        // Long enough for the moving average to converge.
        l.on_started(lane::short_work, start + 60s);
        l.on_ended(lane::short_work, start + 60s);
        CHECK(l.available_for_long(make_plan(), tracker) == r.expected);
    }
}

TEST_CASE("borrowing decreases after an attempt was queued at its target") {
    request::lanes l;
    request::target_tracker tracker;
    tracker.on_started(base::attempt_id(1), own, 1s, start);
    for (int i = 0; i < 5; ++i) {
        l.on_started(lane::short_work, start);
    }
    l.on_started(lane::short_work, start + 60s);
    l.on_started(lane::long_work, start);
    l.on_started(lane::long_work, start);
    l.queue(lane::long_work).push(base::request_id(1), 9, 10);
    CHECK(l.available_for_long(make_plan(), tracker).empty());
    l.on_long_answered(1s, 1s);
    CHECK(!l.available_for_long(make_plan(), tracker).empty());
    l.on_long_answered(2s, 1s);
    CHECK(l.available_for_long(make_plan(), tracker).empty());
}

TEST_CASE("short work uses the targets for long work only under load") {
    struct row {
        const char* name;
        int running;
        std::size_t expected; // 0: no preference
    };
    const row rows[] = {
        {"few", 3, 1},
        {"more requests than its own targets should have", 5, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::lanes l;
        for (int i = 0; i < r.running; ++i) {
            l.on_started(lane::short_work, start);
        }
        l.on_started(lane::short_work, start + 60s);
        CHECK(l.preferred_for_short(make_plan()).size() == r.expected);
    }
}

TEST_CASE("short work is limited to this thread's share of the slots") {
    request::lanes l;
    for (int i = 0; i < 29; ++i) {
        l.on_started(lane::short_work, start);
    }
    CHECK(l.has_short_capacity(make_plan(), 200));
    l.on_started(lane::short_work, start);
    CHECK(!l.has_short_capacity(make_plan(), 200));
}
