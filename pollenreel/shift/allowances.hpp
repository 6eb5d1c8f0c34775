// Rates at which one traffic thread may send to other regions and to limited
// services, set by the control thread. Immutable; published alongside the
// routing snapshot. Each rate carries its expiry, so that a traffic thread
// obeys it even while the control thread is delayed.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/share/resource.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace pollenreel::shift {

// A rate of `now` before `until`, and of `after` from then on.
struct usable_rate {
    std::uint64_t now = 0;
    std::uint64_t after = 0;
    base::time_point until;

    [[nodiscard]] std::uint64_t at(base::time_point t) const {
        return t < until ? now : after;
    }
    friend bool operator==(const usable_rate&, const usable_rate&) = default;
};

// Part of a service's requests that a shift moves to another region.
struct moved_traffic {
    base::shift_id shift;
    base::service_id service;
    base::region_id to;
    share::ppm fraction;
    usable_rate bytes_per_second; // of the shift's cap

    friend bool operator==(const moved_traffic&,
                           const moved_traffic&) = default;
};

// A service's targets in one region.
using place = std::pair<base::service_id, base::region_id>;

struct allowances {
    std::vector<moved_traffic> moves;
    // Share of each link's capacity, in bytes per second. Nothing is sent to a
    // region without an entry.
    std::map<base::region_id, usable_rate> link_rates;
    // Requests per second. A place without an entry has no limit.
    std::map<place, usable_rate> limits;
    // Slots that may be held at another region's targets when the own region's
    // targets accept no work.
    std::map<place, double> spill;

    friend bool operator==(const allowances&, const allowances&) = default;
};

using allowances_ptr = std::shared_ptr<const allowances>;

} // namespace pollenreel::shift
