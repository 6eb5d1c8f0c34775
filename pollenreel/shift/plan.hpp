// Computes the next step of a shift from its pace, the traffic that its cap
// admits and the free slots at the destination. The region's share holder takes
// the steps and stores the progress with its lease, so that a successor
// continues from there. Performs no I/O.
//
//   auto s = shift::next_step(input);
//   holder.set_progress({{id, s.moved}});
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/share/resource.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace pollenreel::shift {

// Minimum duration of a complete shift, which lets caches warm up.
constexpr std::chrono::seconds min_ramp{30};
// Work moved less than this ago meets cold caches.
constexpr std::chrono::seconds cold_period{30};
// How many times longer work holds a slot when caches are cold.
constexpr double cold_factor = 3.0;
// Fraction of the destination's slots up to which moved work may fill it.
constexpr double max_fill = 0.85;
// A shift stops advancing when measurements are older than this.
constexpr std::chrono::seconds max_measurement_age{10};
// Fraction of moved requests that the cap may hold back before a shift waits.
constexpr double max_held_back = 0.1;

// What limits the progress of a shift.
enum class hold_reason {
    none, // it advances at its pace
    cap,
    headroom,
    measurements_late,
    paused,
    reversing,
    no_holder, // no lease holder responds, as when the store is unreachable
    done,
};
[[nodiscard]] std::string_view to_string(hold_reason h);

// Progress of a shift as shown to operators.
struct progress {
    base::shift_id shift;
    base::service_id service;
    base::region_id from;
    base::region_id to;
    std::uint32_t percent = 0; // commanded
    share::ppm moved;          // of the service's requests in `from`
    hold_reason reason = hold_reason::none;

    friend bool operator==(const progress&, const progress&) = default;
};

// Latest known load in slots, and its age.
struct destination_load {
    double slots = 0; // of targets that accept new work
    double used = 0;  // by work other than this shift
    base::duration age{};
};

struct step_input {
    declarations::shift commanded;
    share::ppm moved;
    share::ppm moved_before_cold_period; // `moved` one cold period ago
    base::duration since_last_step{};
    double slots_wanted = 0;      // by all of the service's work in `from`
    double held_back = 0;         // fraction of moved requests, by the cap
    destination_load destination; // `from` when reversing
};

struct step {
    share::ppm moved;
    hold_reason reason = hold_reason::none;
};

[[nodiscard]] step next_step(const step_input& in);

} // namespace pollenreel::shift
