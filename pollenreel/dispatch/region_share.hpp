// Which part of a service's requests from one region runs in other regions,
// and how fast that part may change. Requests are assigned by a hash of their
// object, so that all instances of the region move the same objects, and
// their caches follow.
//
// Answers the load pattern of regions whose peaks come at different times and
// whose targets differ in number: work that does not fit at home moves, but
// no faster than the cap on shifts.
//
//   region_share s(0.15, share_abroad(home_slots, all_slots, regions));
//   const bool abroad = s.assigned_abroad(object);
//   if (better_elsewhere && s.may_cross(now)) ...
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstdint>
#include <string_view>

namespace pollenreel::dispatch {

// The part of a region's requests that its own targets have no room for when
// all regions bring as many: where a share starts from.
[[nodiscard]] double share_abroad(double home_slots, double all_slots,
                                  std::size_t regions);

// Pure; one thread only.
class region_share {
public:
    // `most_shifted`: part of the requests that may change their region from
    // one window of two seconds to the next.
    region_share(double most_shifted, double abroad)
        : m_most_shifted(most_shifted), m_abroad(abroad) {}

    [[nodiscard]] bool assigned_abroad(std::string_view object) const;
    // One request was assigned; `better_elsewhere`: it would be answered
    // sooner on the other side. Returns whether it may go there.
    bool try_reassign(bool abroad, bool better_elsewhere, base::time_point now);
    [[nodiscard]] double abroad() const { return m_abroad; }

private:
    void adapt(base::time_point now);

    double m_most_shifted;
    double m_abroad; // part of the requests, 0 to 1
    base::time_point m_interval_start{};
    // In the present interval.
    std::uint32_t m_requests = 0;
    std::uint32_t m_better_abroad = 0; // of those assigned at home
    std::uint32_t m_better_home = 0;   // of those assigned abroad
    std::uint32_t m_reassigned = 0;
};

} // namespace pollenreel::dispatch
