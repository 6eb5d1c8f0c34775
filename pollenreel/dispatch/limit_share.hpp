// Divides the request rate that a target accepts from all instances together
// among the instances, without communication. Rendezvous hashing (Thaler and
// Ravishankar 1998) selects the instances that send to the target; their number
// bounds what all of them may send at one moment. The others only probe it, so
// that they learn when the limit ends.
//
//   const auto share = share_limit({4.7, target, 0.8}, self, instances);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"

#include <vector>

namespace pollenreel::dispatch {

// A target's limit and where its requests come from.
struct target_limit {
    double per_second = 0; // from all instances
    base::target_id target;
    base::region_id region;
    // Expected fraction of its requests that instances of its region send.
    double home_fraction = 1;
};

// One instance's part of a limit.
struct limit_share {
    // For an instance that sends: its rate, and how many requests it may save.
    double per_second = 0;
    double burst = 0;
    // For one that probes: one request is allowed in each such period.
    base::duration probe_period{};

    [[nodiscard]] bool probes() const {
        return probe_period > base::duration::zero();
    }
};

// The fraction of a region's target capacity that its own instances use if the
// same load comes from every region and all slots are in use.
[[nodiscard]] double home_fraction(double home_slots, double all_slots,
                                   std::size_t regions);

// `instances` may or may not contain `self`.
[[nodiscard]] limit_share
share_limit(const target_limit& limit, const fleet::instance& self,
            const std::vector<fleet::instance>& instances);

} // namespace pollenreel::dispatch
