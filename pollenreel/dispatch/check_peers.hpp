// Chooses the instances that are asked to check targets of other regions. An
// instance there is near the target, and its answer takes no longer than the
// connection that is being opened meanwhile.
//
// Instances ask few peers in each region, so that connections to them are open,
// and the same peer for the same target, so that one check serves several of
// them. Each peer is asked by a bounded number of instances.
//
//   const auto peers = choose_check_peers(self, region, instances);
//   ask(order_check_peers(peers.at(target.region), target.id));
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"

#include <map>
#include <vector>

namespace pollenreel::dispatch {

struct check_peer {
    base::instance_id id;
    base::endpoint at;
};
using check_peers_by_region =
    std::map<base::region_id, std::vector<check_peer>>;

// None in the own region.
[[nodiscard]] check_peers_by_region
choose_check_peers(const base::instance_id& self,
                   const base::region_id& own_region,
                   const std::vector<fleet::instance>& instances);

// The peer to ask about the target, and the one to ask if that fails.
[[nodiscard]] std::vector<base::endpoint>
order_check_peers(const std::vector<check_peer>& peers,
                  const base::target_id& target);

} // namespace pollenreel::dispatch
