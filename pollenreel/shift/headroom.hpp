// Limits the work that one entry may have in flight at a place outside its own
// region, based on delayed load reports and without coordination per request.
//
// Each entry may use an equal part of the free slots in the latest report, in
// addition to what it had in flight there at the time of that report. However
// late reports are, all entries together add at most the free slots once per
// report, and work moved since then counts as load. Cold targets need no ramp:
// work that takes longer there holds its slot longer.
//
//   shift::headroom h;
//   h.on_report({slots, used, mine_then, entries}, now);
//   auto limit = h.allowed(now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::shift {

// Fraction of a region's slots up to which spilled work may fill it.
constexpr double max_spill_fill = 0.95;
// No work is added when the latest report is older than this.
constexpr std::chrono::seconds max_spill_report_age{5};
// How long the own region's targets must accept work before it returns to them,
// and over how long it then returns.
constexpr std::chrono::seconds return_delay{10};
constexpr std::chrono::seconds return_ramp{30};

struct place_load {
    double slots = 0;          // of targets that accept new work
    double used = 0;           // by all entries, at the time of the report
    double mine = 0;           // by this entry, at the time of the report
    std::uint32_t entries = 1; // that may add work
};

class headroom {
public:
    void on_report(const place_load& l, base::time_point now);
    // Returns the most slots that this entry may hold there.
    [[nodiscard]] double allowed(base::time_point now) const;

private:
    struct received {
        place_load load;
        base::time_point at;
    };
    std::optional<received> m_latest;
};

// Ramps work back to a region after its targets failed and recovered.
class failback {
public:
    // Call at least once a second.
    void observe(bool own_available, base::time_point now);
    // Returns the fraction of work that stays in the own region, 0 to 1.
    [[nodiscard]] double local_fraction(base::time_point now) const;

private:
    bool m_failed = false;
    std::optional<base::time_point> m_healthy_since;
};

} // namespace pollenreel::shift
