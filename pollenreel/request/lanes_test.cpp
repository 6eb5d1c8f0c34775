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
    p.sharers = 2;
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
        request::waiting_line line;
        CHECK(!line.push(base::request_id(1), 3, 2));
        CHECK(!line.push(base::request_id(2), 3, 2));
        CHECK(line.ahead_of(r.priority) == r.ahead);
        CHECK(line.push(base::request_id(9), r.priority, 2) == r.put_out);
        CHECK(line.size() == 2);
        CHECK(line.first() == base::request_id(r.priority == 0 ? 9 : 1));
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
        request::target_book book;
        for (int i = 0; i < r.short_running; ++i) {
            l.started(lane::of_short, start);
        }
        for (int i = 0; i < r.long_running; ++i) {
            l.started(lane::of_long, start);
        }
        for (int i = 0; i < r.lent; ++i) {
            l.lent();
        }
        if (r.long_running > 0) {
            book.started(base::attempt_id(1), own, 1s, start);
        }
        // Long after: the level has settled.
        l.started(lane::of_short, start + 60s);
        l.ended(lane::of_short, start + 60s);
        CHECK(l.room_for_long(plan(), book) == r.expected);
    }
}

TEST_CASE("borrowing backs off when an attempt had to queue") {
    request::lanes l;
    request::target_book book;
    book.started(base::attempt_id(1), own, 1s, start);
    for (int i = 0; i < 5; ++i) {
        l.started(lane::of_short, start);
    }
    l.started(lane::of_short, start + 60s);
    l.started(lane::of_long, start);
    l.started(lane::of_long, start);
    l.line(lane::of_long).push(base::request_id(1), 9, 10);
    CHECK(l.room_for_long(plan(), book).empty());
    l.long_answered(1s, 1s);
    CHECK(!l.room_for_long(plan(), book).empty());
    l.long_answered(2s, 1s);
    CHECK(l.room_for_long(plan(), book).empty());
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
            l.started(lane::of_short, start);
        }
        l.started(lane::of_short, start + 60s);
        CHECK(l.preferred_by_short(plan()).size() == r.expected);
    }
}

TEST_CASE("short work is held to this thread's part of the slots") {
    request::lanes l;
    for (int i = 0; i < 29; ++i) {
        l.started(lane::of_short, start);
    }
    CHECK(l.short_has_room(plan(), 200));
    l.started(lane::of_short, start);
    CHECK(!l.short_has_room(plan(), 200));
}
