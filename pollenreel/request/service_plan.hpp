// How the threads of the fleet share the targets of a service in one region:
// which targets long-running work is restricted to, and how many of their slots
// each thread may fill with it. Depends only on the configuration and the list
// of instances, so that all instances agree without communicating.
//
//   auto plan = make_service_plan(service, region, snapshot, {0, 1});
//   if (plan.long_slots_of(target) > long_in_flight) { ... }
#pragma once

#include "pollenreel/routing/snapshot.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <vector>

namespace pollenreel::request {

// Index of a traffic thread among the instance's traffic threads.
struct thread_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

struct service_plan {
    // Targets that this thread connects to, which keeps the whole fleet within
    // each target's connection limit; empty: all of them.
    std::vector<base::target_id> subset;
    // Maximum connections of this thread to one target.
    std::uint32_t connections_per_target = 1;
    // Targets that short work prefers; all targets if no kind is long-running.
    std::vector<base::target_id> short_targets;
    // Targets that long-running work is restricted to.
    std::vector<base::target_id> long_targets;
    // Slots that this thread may fill with long-running work.
    boost::unordered_flat_map<base::target_id, std::uint32_t> own_long_slots;
    std::uint32_t slots = 0; // of all targets that accept new work
    std::uint32_t short_slots = 0;
    std::uint32_t fleet_threads =
        1; // threads of the fleet that use these targets

    [[nodiscard]] std::uint32_t long_slots_of(const base::target_id& t) const {
        const auto found = own_long_slots.find(t);
        return found == own_long_slots.end() ? 0 : found->second;
    }
    // This thread's share of `fleet_slots`, at least one.
    [[nodiscard]] std::uint32_t share_of(std::uint64_t fleet_slots) const;
};

// Size of each thread's subset of `targets`, and its connections to each target
// in it, such that `fleet_threads` threads together open at most
// `max_connections` to one target; 0: no limit.
struct subset_size {
    std::size_t targets = 0;
    std::uint32_t connections = 1;
};
[[nodiscard]] subset_size compute_subset_size(std::size_t targets,
                                              std::uint32_t fleet_threads,
                                              std::uint32_t max_connections);

// Spreads connections by deterministic subsetting (Beyer et al., Site
// Reliability Engineering, 2016, chapter 20); with few threads, each uses all
// targets. Long-running work is restricted to the targets that rank first by
// rendezvous hashing (Thaler and Ravishankar, 1998), so that adding or removing
// a target moves as little of it as possible. Slots are assigned in hash order.
[[nodiscard]] service_plan make_service_plan(const routing::service& service,
                                             const base::region_id& region,
                                             const routing::snapshot& snapshot,
                                             thread_position thread);

} // namespace pollenreel::request
