#include "pollenreel/request/lanes.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::lane;

constexpr base::time_point start{1h};
const base::target_id own("ledger-1");
const base::target_id others("ledger-2");
const base::target_id for_short("ledger-3");

// Two targets for long work, of which this thread owns one slot of the first,
// and one for short work; two threads share them.
request::service_plan plan() {
    request::service_plan p;
    p.short_targets = {for_short};
    p.long_targets = {own, others};
    p.own_long_slots[own] = 1;
    p.slots = 30;
    p.short_slots = 10;
    p.fleet_threads = 2;
    return p;
}

} // namespace

TEST_CASE("a full line puts out the least urgent") {
    struct row {
        const char* name;
        std::uint32_t priority;
        std::optional<base::request_id> put_out;
        std::size_t ahead;
    };
    const row rows[] = {
        {"a more urgent newcomer", 0, base::request_id(2), 0},
        {"an equally urgent newcomer", 3, base::request_id(9), 2},
        {"a less urgent newcomer", 5, base::request_id(9), 2},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::request_queue line;
        CHECK(!line.push(base::request_id(1), 3, 2));
        CHECK(!line.push(base::request_id(2), 3, 2));
        CHECK(line.count_ahead(r.priority) == r.ahead);
        CHECK(line.push(base::request_id(9), r.priority, 2) == r.put_out);
        CHECK(line.size() == 2);
        CHECK(line.front() == base::request_id(r.priority == 0 ? 9 : 1));
    }
}

TEST_CASE("long work takes own slots, then idle ones, then waits") {
    struct row {
        const char* name;
        int short_running;
        int long_running;
        int lent;
        std::vector<base::target_id> expected;
    };
    const row rows[] = {
        {"its own slot first", 0, 0, 0, {own}},
        {"then slots that short work leaves idle", 0, 1, 0, {for_short}},
        {"then one of others' slots", 0, 1 + 4, 4, {own, others}},
        {"beside busy short work none is lent", 5, 1, 0, {own, others}},
        {"then it waits", 5, 2, 0, {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::lanes l;
        request::target_tracker book;
        for (int i = 0; i < r.short_running; ++i) {
            l.on_started(lane::short_work, start);
        }
        for (int i = 0; i < r.long_running; ++i) {
            l.on_started(lane::long_work, start);
        }
        for (int i = 0; i < r.lent; ++i) {
            l.on_slot_lent();
        }
        if (r.long_running > 0) {
            book.on_started(base::attempt_id(1), own, 1s, start);
        }
        // Long after: the level has settled.
        l.on_started(lane::short_work, start + 60s);
        l.on_ended(lane::short_work, start + 60s);
        CHECK(l.available_for_long(plan(), book) == r.expected);
    }
}

TEST_CASE("borrowing backs off when an attempt had to queue") {
    request::lanes l;
    request::target_tracker book;
    book.on_started(base::attempt_id(1), own, 1s, start);
    for (int i = 0; i < 5; ++i) {
        l.on_started(lane::short_work, start);
    }
    l.on_started(lane::short_work, start + 60s);
    l.on_started(lane::long_work, start);
    l.on_started(lane::long_work, start);
    l.queue(lane::long_work).push(base::request_id(1), 9, 10);
    CHECK(l.available_for_long(plan(), book).empty());
    l.on_long_answered(1s, 1s);
    CHECK(!l.available_for_long(plan(), book).empty());
    l.on_long_answered(2s, 1s);
    CHECK(l.available_for_long(plan(), book).empty());
}

TEST_CASE("short work uses the targets of long work only when it must") {
    struct row {
        const char* name;
        int running;
        std::size_t expected; // no preference: 0
    };
    const row rows[] = {
        {"few", 3, 1},
        {"more than its targets should take", 5, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::lanes l;
        for (int i = 0; i < r.running; ++i) {
            l.on_started(lane::short_work, start);
        }
        l.on_started(lane::short_work, start + 60s);
        CHECK(l.preferred_for_short(plan()).size() == r.expected);
    }
}

TEST_CASE("short work is held to this thread's part of the slots") {
    request::lanes l;
    for (int i = 0; i < 29; ++i) {
        l.on_started(lane::short_work, start);
    }
    CHECK(l.has_short_capacity(plan(), 200));
    l.on_started(lane::short_work, start);
    CHECK(!l.has_short_capacity(plan(), 200));
}
