#include "pollenreel/entry/loop_delay.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

TEST_CASE("the longest delay of a loop is reported once an interval") {
    struct timer {
        milliseconds due;
        milliseconds late;
        std::optional<milliseconds> reported;
    };
    struct row {
        const char* name;
        std::vector<timer> timers;
        milliseconds total;
    };
    const row rows[] = {
        {"punctual timers", {{100ms, 0ms, {}}, {200ms, 249ms, {}}}, 249ms},
        {"a late one", {{100ms, 250ms, 250ms}}, 250ms},
        {"another soon after it waits for the interval",
         {{100ms, 300ms, 300ms},
          {500ms, 700ms, {}},
          {1300ms, 0ms, {}},
          {1400ms, 0ms, 700ms},
          {2500ms, 0ms, {}}},
         1000ms},
        {"one that runs early", {{100ms, -5ms, {}}}, 0ms},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        entry::loop_delay delay;
        for (const auto& t : r.timers) {
            CAPTURE(t.due.count());
            const auto due = base::time_point() + t.due;
            CHECK(delay.on_timer(due, due + t.late) == t.reported);
        }
        CHECK(delay.total() == r.total);
    }
}

} // namespace
