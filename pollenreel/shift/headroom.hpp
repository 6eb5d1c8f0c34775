// How much work one entry may have in flight at a place beyond its own
// region, from reports that come late and without talking for each request.
//
// Each entry takes an equal part of the room that the latest report shows,
// on top of what it had there at the time of that report. So however late
// reports are, all entries together raise the load by no more than the room
// once for each report, and what was moved since counts as load. Cold targets
// need no ramp: work that takes longer there holds its slot longer.
//
//   shift::room r;
//   r.on_report({slots, used, mine_then, entries}, now);
//   auto most = r.allowed(now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::shift {

// Part of the slots that spilled work may fill a region up to.
constexpr double max_spill_fill = 0.95;
// Without a report for this long, nothing is added.
constexpr std::chrono::seconds max_spill_report_age{5};
// How long own targets must take work again before work returns to them, and
// how long its return then takes.
constexpr std::chrono::seconds return_delay{10};
constexpr std::chrono::seconds return_ramp{30};

struct place_load {
    double slots = 0; // of targets that take new work
    double used = 0;  // of them, by everybody, when the report was made
    double mine = 0;  // of those, by this entry
    std::uint32_t entries = 1; // that may add to it
};

class headroom {
public:
    void on_report(const place_load& l, base::time_point now);
    // Most that this entry may have in flight there.
    [[nodiscard]] double allowed(base::time_point now) const;

private:
    struct received {
        place_load load;
        base::time_point at;
    };
    std::optional<received> m_latest;
};

// Whether, and with how much of its work, a region that failed gets its own
// work back.
class failback {
public:
    // Call at least once a second.
    void observe(bool own_available, base::time_point now);
    // Part of the work that stays in the own region, 0 to 1.
    [[nodiscard]] double local_fraction(base::time_point now) const;

private:
    bool m_failed = false;
    std::optional<base::time_point> m_healthy_since;
};

} // namespace pollenreel::shift
