#include "pollenreel/shift/plan.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;
using namespace std::chrono_literals;
using declarations::shift_state;
using share::ppm;
using shift::hold_reason;

TEST_CASE("one step of an 80% shift over 100 s, 5 s after the previous one") {
    struct row {
        const char* name;
        shift_state state;
        ppm moved;
        ppm warm;
        double held_back;
        shift::destination_load destination;
        ppm next;
        hold_reason reason;
    };
    const shift::destination_load idle{100, 0, 2s};
    const row rows[] = {
        {"advances at its pace",
         shift_state::active,
         {0},
         {0},
         0,
         idle,
         {40'000},
         hold_reason::none},
        {"the last step",
         shift_state::active,
         {790'000},
         {790'000},
         0,
         idle,
         {800'000},
         hold_reason::none},
        {"done",
         shift_state::active,
         {800'000},
         {800'000},
         0,
         idle,
         {800'000},
         hold_reason::done},
        {"limited by the cap",
         shift_state::active,
         {400'000},
         {400'000},
         0.2,
         idle,
         {400'000},
         hold_reason::cap},
        // 85 - 80 slots are free, all work needs 40, cold work takes 3x.
        {"limited by headroom for cold work",
         shift_state::active,
         {100'000},
         {100'000},
         0,
         {100, 80, 2s},
         {108'333},
         hold_reason::headroom},
        {"headroom falls below the moved part",
         shift_state::active,
         {400'000},
         {400'000},
         0,
         {100, 75, 2s},
         {250'000},
         hold_reason::headroom},
        {"late measurements",
         shift_state::active,
         {400'000},
         {400'000},
         0,
         {100, 0, 11s},
         {400'000},
         hold_reason::measurements_late},
        {"paused",
         shift_state::paused,
         {400'000},
         {400'000},
         0,
         idle,
         {400'000},
         hold_reason::paused},
        {"reversing",
         shift_state::reversing,
         {400'000},
         {400'000},
         0,
         idle,
         {360'000},
         hold_reason::reversing},
        {"reversed completely",
         shift_state::reversing,
         {0},
         {0},
         0,
         idle,
         {0},
         hold_reason::done},
    };
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        shift::step_input in;
        in.commanded.percent = 80;
        in.commanded.over = 100s;
        in.commanded.state = r.state;
        in.moved = r.moved;
        in.moved_before_cold_period = r.warm;
        in.since_last_step = 5s;
        in.slots_wanted = 40;
        in.held_back = r.held_back;
        in.destination = r.destination;
        const auto s = shift::next_step(in);
        CHECK(s.moved.value == r.next.value);
        CHECK(s.reason == r.reason);
    }
}
