// Chooses the few members that an instance probes and exchanges news with:
// its successors on several hash rings. Every member is then probed by as many
// others, whatever the fleet's size, and the rings together form an expander
// graph, over which news reaches all in a logarithmic number of hops (the
// monitoring topology of Rapid; Suresh et al., 2018).
//
//   auto ids = membership::choose_neighbours(roster, region_map);
#pragma once

#include "pollenreel/membership/member_table.hpp"

#include <map>
#include <vector>

namespace pollenreel::membership {

// Rings over the whole fleet: notice a failure domain or region that is gone.
constexpr std::size_t global_rings = 3;
// Rings over the own region: go on noticing deaths in a region cut off.
constexpr std::size_t regional_rings = 2;

// The region of each failure domain. A domain that is not in it counts as a
// region of its own.
using region_map = std::map<base::failure_domain_id, base::region_id>;

// At most global_rings + regional_rings members, without repetition. The dead
// keep their places while they are remembered: they go on being probed, and
// nobody is handed members whom he could not reach anyway. Depends on names
// and failure domains only.
[[nodiscard]] std::vector<base::instance_id>
choose_neighbours(const member_table& members, const region_map& regions);

} // namespace pollenreel::membership
