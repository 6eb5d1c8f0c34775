#include "pollenreel/shift/plan.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

using declarations::shift_state;
using share::ppm;

constexpr std::uint32_t parts_of_percent = share::whole.value / 100;

ppm commanded_part(const declarations::shift& s) {
    return {s.percent * parts_of_percent};
}

// What the pace allows for one step.
ppm pace(const step_input& in) {
    const auto over = std::max<base::duration>(in.commanded.over, least_ramp);
    const auto all = commanded_part(in.commanded).value;
    const auto part = std::chrono::duration<double>(in.since_last_step) /
                      std::chrono::duration<double>(over);
    return {static_cast<std::uint32_t>(all * std::min(part, 1.0))};
}

// The greatest part whose work fits the destination. Work that was moved in
// the cold period holds its slot longer; all that was moved counts from when
// it was moved, measured or not.
ppm fitting(const step_input& in) {
    const double room = in.destination.slots * most_fill - in.destination.used;
    if (in.slots_wanted <= 0) {
        return share::whole;
    }
    const double warm = in.moved_before_cold_period.value;
    const double all = room / in.slots_wanted * share::whole.value;
    const double fits = all <= warm ? all : warm + (all - warm) / cold_factor;
    return {static_cast<std::uint32_t>(
        std::clamp(fits, 0.0, double{share::whole.value}))};
}

step back(const step_input& in) {
    if (in.moved == ppm{}) {
        return {in.moved, hold::done};
    }
    return {in.moved - pace(in), hold::reversing};
}

step forward(const step_input& in) {
    const auto goal = commanded_part(in.commanded);
    if (in.moved > goal) {
        return {std::max(goal, in.moved - pace(in)), hold::none};
    }
    if (in.destination.age > oldest_measurement) {
        return {in.moved, hold::measurements_late};
    }
    const auto most = fitting(in);
    if (most < in.moved) {
        return {most, hold::headroom};
    }
    if (in.moved == goal) {
        return {in.moved, hold::done};
    }
    if (in.held_back > most_held_back) {
        return {in.moved, hold::cap};
    }
    const auto next = std::min(goal, in.moved + pace(in));
    if (most < next) {
        return {most, hold::headroom};
    }
    return {next, hold::none};
}

} // namespace

std::string_view to_string(hold h) {
    switch (h) {
    case hold::none:
        return "none";
    case hold::cap:
        return "cap";
    case hold::headroom:
        return "headroom";
    case hold::measurements_late:
        return "measurements-late";
    case hold::paused:
        return "paused";
    case hold::reversing:
        return "reversing";
    case hold::no_holder:
        return "no-holder";
    case hold::done:
        return "done";
    }
    return "unknown";
}

step next_step(const step_input& in) {
    switch (in.commanded.state) {
    case shift_state::paused:
        return {in.moved, hold::paused};
    case shift_state::reversing:
        return back(in);
    case shift_state::active:
        return forward(in);
    }
    return {in.moved, hold::paused};
}

} // namespace pollenreel::shift
