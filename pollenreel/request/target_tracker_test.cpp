#include "pollenreel/request/target_tracker.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

constexpr base::time_point start{1h};
constexpr base::duration typical = 10ms;
const base::target_id target("bench-01");

struct tracker_fixture {
    request::target_tracker tracker;
    base::attempt_id last;
    base::time_point now = start;

    base::attempt_id start_attempt() {
        last = last.next();
        tracker.on_started(last, target, typical, now);
        return last;
    }
    void answer_after(base::duration d) {
        const auto id = start_attempt();
        now += d;
        tracker.on_answered(id, now);
    }
    void fail() { tracker.on_failed(start_attempt(), now); }
};

} // namespace

TEST_CASE("conditions that make a target hot") {
    struct row {
        const char* name;
        void (*run)(tracker_fixture&);
        bool hot;
    };
    const row rows[] = {
        {"never used", [](tracker_fixture&) {}, false},
        {"typical latencies",
         [](tracker_fixture& f) {
             for (int i = 0; i < 9; ++i) {
                 f.answer_after(15ms);
             }
         },
         false},
        {"one straggler among typical latencies",
         [](tracker_fixture& f) {
             f.answer_after(10ms);
             f.answer_after(500ms);
         },
         false},
        {"several slow responses",
         [](tracker_fixture& f) {
             for (int i = 0; i < 4; ++i) {
                 f.answer_after(100ms);
             }
         },
         true},
        {"one attempt unanswered for long",
         [](tracker_fixture& f) {
             f.start_attempt();
             f.now += 41ms;
         },
         true},
        {"a broken connection", [](tracker_fixture& f) { f.fail(); }, true},
        {"an attempt shed just now",
         [](tracker_fixture& f) {
             f.tracker.on_shed(f.start_attempt(), f.now);
         },
         true},
        {"an attempt shed a while ago",
         [](tracker_fixture& f) {
             f.tracker.on_shed(f.start_attempt(), f.now);
             f.now += 101ms;
         },
         false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        tracker_fixture f;
        r.run(f);
        CHECK(f.tracker.is_hot(target, f.now) == r.hot);
    }
}

TEST_CASE("a hot target is probed at growing intervals until it is cold") {
    tracker_fixture f;
    f.fail();
    CHECK(!f.tracker.is_probe_due(target, f.now));
    f.now += 250ms;
    CHECK(f.tracker.is_probe_due(target, f.now));
    f.fail();
    f.now += 250ms;
    CHECK(!f.tracker.is_probe_due(target, f.now));
    f.now += 250ms;
    CHECK(f.tracker.is_probe_due(target, f.now));
    int answers = 0;
    while (f.tracker.is_hot(target, f.now)) {
        CHECK(f.tracker.is_probe_due(target, f.now));
        f.answer_after(10ms);
        ++answers;
    }
    CHECK(answers == 2);
}

TEST_CASE("a target that is added or recovers warms up") {
    tracker_fixture f;
    CHECK(f.tracker.warmup_fraction(target, start) == 1);
    f.tracker.set_slow_start(target, 10s);
    CHECK(f.tracker.warmup_fraction(target, start) == 1);
    f.tracker.begin_slow_start(target, start);
    CHECK(f.tracker.warmup_fraction(target, start) == doctest::Approx(0.1));
    CHECK(f.tracker.warmup_fraction(target, start + 5s) ==
          doctest::Approx(0.5));
    CHECK(f.tracker.warmup_fraction(target, start + 10s) == 1);
    f.now = start + 20s;
    f.fail();
    f.answer_after(10ms);
    CHECK(f.tracker.warmup_fraction(target, f.now) == doctest::Approx(0.1));
}
