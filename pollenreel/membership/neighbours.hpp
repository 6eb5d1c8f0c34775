// Chooses the neighbours that an instance probes and gossips with: its
// successors on several hash rings. On each ring every member has exactly one
// predecessor that probes it, whatever the size of the fleet, and the rings
// together form an expander graph, over which updates reach all members in a
// logarithmic number of hops (the monitoring topology of Rapid; Suresh et al.,
// 2018).
//
//   auto ids = membership::choose_neighbours(members, regions);
#pragma once

#include "pollenreel/membership/member_table.hpp"

#include <map>
#include <vector>

namespace pollenreel::membership {

// Rings over the whole fleet detect the loss of a failure domain or region.
constexpr std::size_t global_rings = 3;
// Rings within the own region detect failures while the region is partitioned.
constexpr std::size_t regional_rings = 2;

// Maps each failure domain to its region. A domain without an entry counts as a
// region of its own.
using region_map = std::map<base::failure_domain_id, base::region_id>;

// Returns at most global_ring_count + regional_ring_count distinct members.
// Dead members keep their ring positions until they are removed: they go on
// being probed, and their predecessors do not get other members that they could
// not reach either. Depends only on names and failure domains.
[[nodiscard]] std::vector<base::instance_id>
choose_neighbours(const member_table& members, const region_map& regions);

} // namespace pollenreel::membership
