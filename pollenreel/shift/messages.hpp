// Messages between instances about the load of places.
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/share/messages.hpp"
#include "pollenreel/shift/allowances.hpp"

#include <cstdint>
#include <map>
#include <variant>

namespace pollenreel::shift {

// Use of a place by one entry or by all entries of a region.
struct place_use {
    double slots = 0;            // held, mean over the latest period
    std::uint64_t started = 0;   // in the latest period
    std::uint64_t held_back = 0; // in the latest period, by a cap

    friend bool operator==(const place_use&, const place_use&) = default;
};
using uses = std::map<place, place_use>;

// An entry's report to its region's collectors.
struct load_report {
    base::instance_id instance;
    uses at;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Totals over a region's entries, sent to all regions.
struct load_summary {
    base::region_id region; // of the entries
    std::uint32_t entries = 0;
    uses at;

    friend bool operator==(const load_summary&, const load_summary&) = default;
};

using message =
    std::variant<share::request, share::grant, load_report, load_summary>;

} // namespace pollenreel::shift
