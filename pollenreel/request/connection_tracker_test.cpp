#include "pollenreel/request/connection_tracker.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::connection_id;

constexpr base::time_point start{1h};
const base::endpoint target{"127.0.0.1", 9000};

// A tracker with idle connections 1 to `count`, each answered at `start`, the
// highest id last.
request::connection_tracker tracker_with(std::uint64_t count) {
    request::connection_tracker tracker({20s, 1s});
    for (std::uint64_t i = 1; i <= count; ++i) {
        tracker.on_opened(connection_id(i), target);
    }
    for (std::uint64_t i = 1; i <= count; ++i) {
        tracker.on_answered(connection_id(i), start);
    }
    return tracker;
}

} // namespace

TEST_CASE("selection of a connection for an attempt") {
    struct row {
        const char* name;
        std::uint64_t idle;
        bool idempotent;
        base::duration later;
        std::optional<connection_id> expected;
    };
    const row rows[] = {
        {"a new one if none is idle", 0, true, 0s, {}},
        {"the one that received a response last", 3, true, 1s,
         connection_id(3)},
        {"none that has been idle too long", 3, true, 21s, {}},
        {"a non-idempotent request reuses one that was used just now", 2, false,
         500ms, connection_id(2)},
        {"a non-idempotent request does not reuse one idle for 2 s",
         2,
         false,
         2s,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto tracker = tracker_with(r.idle);
        CHECK(tracker.acquire_idle(target, r.idempotent, start + r.later) ==
              r.expected);
        CHECK(tracker.count_open(target) == r.idle);
    }
}

TEST_CASE("a connection in use is not assigned to a second attempt") {
    auto tracker = tracker_with(1);
    CHECK(tracker.acquire_idle(target, true, start).has_value());
    CHECK(!tracker.acquire_idle(target, true, start).has_value());
}

TEST_CASE("an unanswered connection makes those unused since then suspect") {
    auto tracker = tracker_with(4);
    const auto unanswered =
        tracker.acquire_idle(target, true, start + 1s).value();
    const auto fresh = tracker.acquire_idle(target, true, start + 1s).value();
    tracker.on_answered(fresh, start + 2s);
    const auto suspects = tracker.find_suspects(unanswered, start + 1s);
    CHECK(suspects ==
          std::vector<connection_id>{connection_id(1), connection_id(2)});
    for (const auto id : suspects) {
        tracker.on_closed(id);
    }
    tracker.on_closed(unanswered);
    CHECK(tracker.count_open(target) == 1);
    CHECK(tracker.acquire_idle(target, true, start + 2s) == fresh);
}

TEST_CASE("idle connections expire and those in use do not") {
    auto tracker = tracker_with(2);
    (void)tracker.acquire_idle(target, true, start);
    CHECK(tracker.find_expired(start + 20s).empty());
    CHECK(tracker.find_expired(start + 21s) ==
          std::vector<connection_id>{connection_id(1)});
}
