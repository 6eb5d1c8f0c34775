// Share of a service's requests from one region that runs in other regions,
// with a bound on its rate of change. Requests are assigned by a hash of their
// object, so that all instances of the region move the same objects and keep
// using the same caches.
//
// This serves regions that peak at different times and have different numbers
// of targets: requests beyond the capacity of their own region move, but no
// faster than `most_shifted` allows.
//
//   region_share s(0.15, share_abroad(home_slots, all_slots, regions));
//   const bool abroad = s.assigned_abroad(object);
//   if (s.try_reassign(abroad, better_elsewhere, now)) ...
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstdint>
#include <string_view>

namespace pollenreel::dispatch {

// Initial share: the fraction, 0 to 1, of a region's requests that exceeds the
// capacity of its own targets if the same load comes from every region and all
// slots are in use.
[[nodiscard]] double share_abroad(double home_slots, double all_slots,
                                  std::size_t regions);

// Does no I/O. Not thread-safe.
class region_share {
public:
    // `most_shifted`: fraction of the requests that may change the region in
    // which they run from one window of two seconds to the next.
    // `abroad`: the initial share.
    region_share(double most_shifted, double abroad)
        : m_most_shifted(most_shifted), m_abroad(abroad) {}

    // Whether requests for `object` are assigned to other regions.
    [[nodiscard]] bool assigned_abroad(std::string_view object) const;
    // Counts a request that was assigned abroad or not. `better_elsewhere`:
    // it would be answered sooner on the other side. Returns whether it may be
    // reassigned to that side.
    bool try_reassign(bool abroad, bool better_elsewhere, base::time_point now);
    [[nodiscard]] double abroad() const { return m_abroad; }

private:
    void adapt(base::time_point now);

    double m_most_shifted;
    double m_abroad; // fraction of the requests, 0 to 1
    base::time_point m_interval_start{};
    // Counts of the current interval.
    std::uint32_t m_requests = 0;
    std::uint32_t m_better_abroad = 0; // of those assigned to this region
    std::uint32_t m_better_home = 0;   // of those assigned abroad
    std::uint32_t m_reassigned = 0;
};

} // namespace pollenreel::dispatch
