#include "pollenreel/dispatch/check_peers.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace pollenreel::dispatch {

namespace {

// Peers in each region. More divide the work more evenly and need more
// connections.
constexpr std::size_t peers_per_region = 4;
// Instances that ask the same peers. With 1,300 instances in 29 regions a peer
// is asked by about 115.
constexpr std::size_t group_size = 64;
constexpr std::size_t asked_in_turn = 2;

// Groups take turns around the region, so that no peer serves many more of them
// than another.
std::vector<check_peer> peers_of_group(const std::vector<check_peer>& all,
                                       std::size_t group) {
    std::vector<check_peer> peers;
    for (std::size_t n = 0; n < std::min(peers_per_region, all.size()); ++n) {
        peers.push_back(all[(group * peers_per_region + n) % all.size()]);
    }
    return peers;
}

} // namespace

check_peers_by_region
choose_check_peers(const base::instance_id& self,
                   const base::region_id& own_region,
                   const std::vector<fleet::instance>& instances) {
    check_peers_by_region all;
    for (const auto& i : instances) {
        if (i.region != own_region && i.relay_endpoint) {
            all[i.region].push_back({i.id, *i.relay_endpoint});
        }
    }
    const auto groups = 1 + instances.size() / group_size;
    const auto group =
        fleet::rendezvous_score("check group", self.str()) % groups;
    for (auto& [region, peers] : all) {
        peers = peers_of_group(peers, group);
    }
    return all;
}

std::vector<base::endpoint>
order_check_peers(const std::vector<check_peer>& peers,
                  const base::target_id& target) {
    // By rendezvous hashing (Thaler and Ravishankar 1998).
    std::vector<std::pair<std::uint64_t, const check_peer*>> scored;
    scored.reserve(peers.size());
    for (const auto& p : peers) {
        scored.emplace_back(fleet::rendezvous_score(target.str(), p.id.str()),
                            &p);
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<base::endpoint> order;
    for (const auto& [score, peer] : scored) {
        if (order.size() < asked_in_turn) {
            order.push_back(peer->at);
        }
    }
    return order;
}

} // namespace pollenreel::dispatch
