// How much of a cold target's request rate one instance may use, without
// asking the others. All instances together stay under the rate, also when
// their views of who is live differ.
//
//   const auto n = cold_share(bound, target, self, instances);
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <vector>

namespace pollenreel::dispatch {

// Requests that `self` may send to the cold `target` within a second when all
// together may send `bound`. With fewer places than instances, rendezvous
// hashing (Thaler and Ravishankar 1998) says whose they are.
[[nodiscard]] std::size_t
cold_quota(double bound, const base::target_id& target,
           const base::instance_id& self,
           const std::vector<fleet::instance>& instances);

} // namespace pollenreel::dispatch
