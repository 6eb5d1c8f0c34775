// How the targets of a service in one region are shared out, derived from the
// configuration and the list of instances alone, so that all instances agree
// without a message: which targets long-running work is kept to, and how many
// of their slots each instance may fill with it.
//
//   auto plan = make_plan(service, region, snapshot, {0, 1});
//   if (plan.long_slots_of(target) > long_in_flight) { ... }
#pragma once

#include "pollenreel/routing/snapshot.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <vector>

namespace pollenreel::request {

// One of the traffic threads of an instance; each is a sharer of its own.
struct thread_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

struct service_plan {
    // Targets that this thread connects to, so that the whole fleet keeps to
    // the connections that a target bears; empty: all of them.
    std::vector<base::target_id> subset;
    // Most connections of this thread to one target.
    std::uint32_t connections_per_target = 1;
    // Targets that short work prefers; all of them when no kind is
    // long-running.
    std::vector<base::target_id> short_targets;
    // Targets that long-running work is kept to.
    std::vector<base::target_id> long_targets;
    // Slots that this thread may fill with long-running work.
    boost::unordered_flat_map<base::target_id, std::uint32_t> own_long_slots;
    std::uint32_t slots = 0; // of all targets that take new work
    std::uint32_t short_slots = 0;
    std::uint32_t fleet_threads =
        1; // threads of the fleet that use these targets

    [[nodiscard]] std::uint32_t long_slots_of(const base::target_id& t) const {
        const auto found = own_long_slots.find(t);
        return found == own_long_slots.end() ? 0 : found->second;
    }
    // This thread's part of `slots`, at least one.
    [[nodiscard]] std::uint32_t share_of(std::uint64_t slots_in_all) const;
};

// The size of the subsets of `targets` and the connections to each, for
// `sharers` that together open at most `most` to one target; 0: no limit.
struct subset_size {
    std::size_t targets = 0;
    std::uint32_t connections = 1;
};
[[nodiscard]] subset_size compute_subset_size(std::size_t targets,
                                              std::uint32_t sharers,
                                              std::uint32_t most);

// Deterministic subsetting (Beyer et al., Site Reliability Engineering, 2016,
// chapter 20) spreads connections; with few sharers each has all targets.
// Long-running work is kept to the targets that rank first by rendezvous
// hashing (Thaler and Ravishankar, 1998), so that adding or removing a target
// moves as little of it as can be. The slots are dealt out in hashed order.
[[nodiscard]] service_plan make_service_plan(const routing::service& service,
                                             const base::region_id& region,
                                             const routing::snapshot& s,
                                             thread_position place);

} // namespace pollenreel::request
