// How far a shift may come with its next step: along its pace, within what
// its cap lets through and what the destination can take. The region's
// share-holder takes the steps and keeps them with its lease in the store, so
// that they go on from there when it dies. Pure.
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

// No shift goes from nothing to its whole faster, for caches to warm.
constexpr std::chrono::seconds min_ramp{30};
// What was moved less than this ago meets cold caches.
constexpr std::chrono::seconds cold_period{30};
// How many times longer work holds a slot where caches are cold.
constexpr double cold_factor = 3.0;
// Part of the destination's slots that moved work may fill them up to.
constexpr double max_fill = 0.85;
// Measurements older than this hold a shift where it is.
constexpr std::chrono::seconds max_measurement_age{10};
// Part of the moved requests that the cap may hold back before a shift waits.
constexpr double max_held_back = 0.1;

// Why a shift is not further than it is.
enum class hold_reason {
    none, // it moves along its pace
    cap,
    headroom,
    measurements_late,
    paused,
    reversing,
    no_holder, // nobody may take steps: the store cannot be reached
    done,
};
[[nodiscard]] std::string_view to_string(hold_reason h);

// What operators are shown of a shift.
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

// Load in slots, as lately known; `age` is how late.
struct destination_load {
    double slots = 0; // of targets that take new work
    double used = 0;  // by others than this shift
    base::duration age{};
};

struct step_input {
    declarations::shift commanded;
    share::ppm moved;
    share::ppm moved_before_cold_period; // how far it was then
    base::duration since_last_step{};
    double slots_wanted = 0; // that all of the service's work in `from` holds
    double held_back = 0;    // part of the moved requests, by the cap
    destination_load destination; // of work moved on; of `from` when reversing
};

struct step {
    share::ppm moved;
    hold_reason reason = hold_reason::none;
};

[[nodiscard]] step next_step(const step_input& in);

} // namespace pollenreel::shift
