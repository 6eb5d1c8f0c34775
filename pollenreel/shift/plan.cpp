#include "pollenreel/shift/plan.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

using declarations::shift_state;
using share::ppm;

constexpr std::uint32_t ppm_per_percent = share::whole.value / 100;

ppm commanded_part(const declarations::shift& s) {
    return {s.percent * ppm_per_percent};
}

// Returns the change that the pace allows in one step.
ppm paced_step(const step_input& in) {
    const auto over = std::max<base::duration>(in.commanded.over, min_ramp);
    const auto all = commanded_part(in.commanded).value;
    const auto part = std::chrono::duration<double>(in.since_last_step) /
                      std::chrono::duration<double>(over);
    return {static_cast<std::uint32_t>(all * std::min(part, 1.0))};
}

// Returns the largest moved part whose work fits the destination. Work moved
// within the cold period holds its slots longer. All moved work counts from
// when it was moved, even if it is not measured yet.
ppm max_fitting(const step_input& in) {
    const double free_slots =
        in.destination.slots * max_fill - in.destination.used;
    if (in.slots_wanted <= 0) {
        return share::whole;
    }
    const double warm = in.moved_before_cold_period.value;
    const double all = free_slots / in.slots_wanted * share::whole.value;
    const double fitting =
        all <= warm ? all : warm + (all - warm) / cold_factor;
    return {static_cast<std::uint32_t>(
        std::clamp(fitting, 0.0, double{share::whole.value}))};
}

step step_back(const step_input& in) {
    if (in.moved == ppm{}) {
        return {in.moved, hold_reason::done};
    }
    return {in.moved - paced_step(in), hold_reason::reversing};
}

step step_forward(const step_input& in) {
    const auto goal = commanded_part(in.commanded);
    if (in.moved > goal) {
        return {std::max(goal, in.moved - paced_step(in)), hold_reason::none};
    }
    if (in.destination.age > max_measurement_age) {
        return {in.moved, hold_reason::measurements_late};
    }
    const auto max_moved = max_fitting(in);
    if (max_moved < in.moved) {
        return {max_moved, hold_reason::headroom};
    }
    if (in.moved == goal) {
        return {in.moved, hold_reason::done};
    }
    if (in.held_back > max_held_back) {
        return {in.moved, hold_reason::cap};
    }
    const auto next = std::min(goal, in.moved + paced_step(in));
    if (max_moved < next) {
        return {max_moved, hold_reason::headroom};
    }
    return {next, hold_reason::none};
}

} // namespace

std::string_view to_string(hold_reason h) {
    switch (h) {
    case hold_reason::none:
        return "none";
    case hold_reason::cap:
        return "cap";
    case hold_reason::headroom:
        return "headroom";
    case hold_reason::measurements_late:
        return "measurements-late";
    case hold_reason::paused:
        return "paused";
    case hold_reason::reversing:
        return "reversing";
    case hold_reason::no_holder:
        return "no-holder";
    case hold_reason::done:
        return "done";
    }
    return "unknown";
}

step next_step(const step_input& in) {
    switch (in.commanded.state) {
    case shift_state::paused:
        return {in.moved, hold_reason::paused};
    case shift_state::reversing:
        return step_back(in);
    case shift_state::active:
        return step_forward(in);
    }
    return {in.moved, hold_reason::paused};
}

} // namespace pollenreel::shift
