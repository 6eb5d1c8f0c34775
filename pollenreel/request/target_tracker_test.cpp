#include "pollenreel/request/target_tracker.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

constexpr base::time_point start{1h};
constexpr base::duration usual = 10ms;
const base::target_id target("bench-01");

struct bench {
    request::target_tracker book;
    base::attempt_id last;
    base::time_point now = start;

    base::attempt_id begin() {
        last = last.next();
        book.on_started(last, target, usual, now);
        return last;
    }
    void answer_after(base::duration d) {
        const auto id = begin();
        now += d;
        book.on_answered(id, now);
    }
    void fail() { book.on_failed(begin(), now); }
};

} // namespace

TEST_CASE("when a target counts as hot") {
    struct row {
        const char* name;
        void (*happens)(bench&);
        bool hot;
    };
    const row rows[] = {
        {"never used", [](bench&) {}, false},
        {"usual answers",
         [](bench& b) {
             for (int i = 0; i < 9; ++i) {
                 b.answer_after(15ms);
             }
         },
         false},
        {"one straggler among usual answers",
         [](bench& b) {
             b.answer_after(10ms);
             b.answer_after(500ms);
         },
         false},
        {"several slow answers",
         [](bench& b) {
             for (int i = 0; i < 4; ++i) {
                 b.answer_after(100ms);
             }
         },
         true},
        {"one attempt that has had no answer for long",
         [](bench& b) {
             b.begin();
             b.now += 41ms;
         },
         true},
        {"a broken connection", [](bench& b) { b.fail(); }, true},
        {"it just shed an attempt",
         [](bench& b) { b.book.on_shed(b.begin(), b.now); }, true},
        {"it shed an attempt a while ago",
         [](bench& b) {
             b.book.on_shed(b.begin(), b.now);
             b.now += 101ms;
         },
         false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        bench b;
        r.happens(b);
        CHECK(b.book.is_hot(target, b.now) == r.hot);
    }
}

TEST_CASE("a hot target is probed with growing pauses until it answers") {
    bench b;
    b.fail();
    CHECK(!b.book.is_probe_due(target, b.now));
    b.now += 250ms;
    CHECK(b.book.is_probe_due(target, b.now));
    b.fail();
    b.now += 250ms;
    CHECK(!b.book.is_probe_due(target, b.now));
    b.now += 250ms;
    CHECK(b.book.is_probe_due(target, b.now));
    int answers = 0;
    while (b.book.is_hot(target, b.now)) {
        CHECK(b.book.is_probe_due(target, b.now));
        b.answer_after(10ms);
        ++answers;
    }
    CHECK(answers == 2);
}

TEST_CASE("a target that was added or came back warms up") {
    bench b;
    CHECK(b.book.warmup_fraction(target, start) == 1);
    b.book.begin_slow_start(target, 10s, start);
    CHECK(b.book.warmup_fraction(target, start) == doctest::Approx(0.1));
    CHECK(b.book.warmup_fraction(target, start + 5s) == doctest::Approx(0.5));
    CHECK(b.book.warmup_fraction(target, start + 10s) == 1);
    b.now = start + 20s;
    b.fail();
    b.answer_after(10ms);
    CHECK(b.book.warmup_fraction(target, b.now) == doctest::Approx(0.1));
}
