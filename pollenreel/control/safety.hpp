// Tells whether a change of the configuration would overload a region or break
// a cap. Pure: works from the two configurations alone, so that every instance
// gives the same answer also when measurements are missing.
//
// Load is planned load: the slots that a region's traffic keeps busy, as the
// service declares it (`planned_load`), else `default_planned_percent` of the
// slots that the region had declared before the change. Drained targets offer
// no slots; a shift moves its whole share, whatever it has moved so far; the
// load of a region without slots spreads over the others in proportion to
// what they have free.
//
//   for (const auto& why : control::objections(now, proposed)) refuse(why);
#pragma once

#include "pollenreel/declarations/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenreel::control {

// Busy slots among 100 where a service does not declare its planned load.
constexpr std::uint32_t default_planned_percent = 60;

// Slots of a service in a region, and the load planned for them, in slots.
struct region_load {
    base::service_id service;
    base::region_id region;
    std::uint64_t slots = 0;
    double load = 0;
};

// The planned load of every service and region under `after`. Where the load
// is not declared it is taken from the slots that `before` declares.
[[nodiscard]] std::vector<region_load>
planned_loads(const declarations::configuration& before,
              const declarations::configuration& after);

// Why `after` must not replace `before`, in words for an operator; empty when
// it may. What was wrong before and is no worse after is no objection, so that
// a fleet in trouble can be mended step by step.
[[nodiscard]] std::vector<std::string>
objections(const declarations::configuration& before,
           const declarations::configuration& after);

} // namespace pollenreel::control
