// Divides the request rate that a cold target can take among the instances
// without communication. All instances together stay under the rate, even if
// their views of the live instances differ.
//
//   const auto n = cold_quota(bound, target, self, instances);
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <vector>

namespace pollenreel::dispatch {

// Requests per second that `self` may send to the cold `target` when all
// instances together may send `bound`. If there are fewer whole requests to
// allocate than instances, rendezvous hashing (Thaler and Ravishankar 1998)
// selects the instances that may send one.
[[nodiscard]] std::size_t
cold_quota(double bound, const base::target_id& target,
           const base::instance_id& self,
           const std::vector<fleet::instance>& instances);

} // namespace pollenreel::dispatch
