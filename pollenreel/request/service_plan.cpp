#include "pollenreel/request/service_plan.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace pollenreel::request {

namespace {

std::uint64_t hash_weight(const std::string& text, std::uint64_t salt) {
    return XXH3_64bits_withSeed(text.data(), text.size(), salt);
}

std::vector<const routing::target*>
eligible_targets(const routing::service& service,
                 const base::region_id& region) {
    std::vector<const routing::target*> eligible;
    for (const auto& t : service.targets) {
        if (t.region == region && t.accepts_new_work) {
            eligible.push_back(&t);
        }
    }
    std::sort(eligible.begin(), eligible.end(),
              [](const auto* a, const auto* b) {
                  return std::pair(hash_weight(a->id.str(), 0), a->id) <
                         std::pair(hash_weight(b->id.str(), 0), b->id);
              });
    return eligible;
}

// The instances that share the targets of `region`, sorted: those in the region
// if it is the local one, otherwise all instances.
std::vector<base::instance_id>
sharing_instances(const base::region_id& region,
                  const routing::snapshot& snapshot) {
    std::vector<base::instance_id> ids{snapshot.self};
    for (const auto& i : snapshot.instances) {
        const auto found_region = snapshot.region_of.find(i.failure_domain);
        const bool is_local = found_region != snapshot.region_of.end() &&
                              found_region->second == region;
        if (is_local || snapshot.region != region) {
            ids.push_back(i.id);
        }
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

// With fewer connections to a target, a thread could not have a request in
// flight while it replaces a connection.
constexpr std::uint32_t min_connections = 2;

// The threads of a round share one shuffled list of targets; each takes a
// distinct part of the list.
std::vector<base::target_id>
select_subset(std::vector<const routing::target*> targets, std::size_t size,
              std::size_t thread_rank) {
    const auto parts = targets.size() / size;
    const auto round = thread_rank / parts;
    std::sort(targets.begin(), targets.end(),
              [&](const auto* a, const auto* b) {
                  return std::pair(hash_weight(a->id.str(), ~round), a->id) <
                         std::pair(hash_weight(b->id.str(), ~round), b->id);
              });
    const auto first = (thread_rank % parts) * size;
    std::vector<base::target_id> own;
    for (auto i = first; i < first + size; ++i) {
        own.push_back(targets[i]->id);
    }
    return own;
}

bool has_long_kind(const routing::service& service) {
    return std::any_of(service.kinds.begin(), service.kinds.end(),
                       [](const auto& k) { return k.long_running; });
}

// Assigns the slots of the long targets to the threads of the fleet in turn.
void assign_long_slots(service_plan& plan,
                       const std::vector<const routing::target*>& long_targets,
                       std::size_t thread_rank) {
    std::vector<std::pair<std::uint64_t, const routing::target*>> slots;
    for (const auto* t : long_targets) {
        for (std::uint32_t slot = 0; slot < t->slots; ++slot) {
            slots.emplace_back(hash_weight(t->id.str(), slot + 1), t);
        }
    }
    std::sort(slots.begin(), slots.end());
    for (auto i = thread_rank; i < slots.size(); i += plan.fleet_threads) {
        ++plan.own_long_slots[slots[i].second->id];
    }
}

} // namespace

std::uint32_t service_plan::share_of(std::uint64_t fleet_slots) const {
    const auto share = (fleet_slots + fleet_threads - 1) / fleet_threads;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(share, 1));
}

subset_size compute_subset_size(std::size_t targets,
                                std::uint32_t fleet_threads,
                                std::uint32_t max_connections) {
    if (max_connections == 0) {
        return {targets, std::numeric_limits<std::uint32_t>::max()};
    }
    for (auto size = targets; size > 0; --size) {
        const auto parts = targets / size;
        const auto rounds = (fleet_threads + parts - 1) / parts;
        const auto connections =
            static_cast<std::uint32_t>(max_connections / rounds);
        if (connections >= min_connections) {
            return {size, connections};
        }
    }
    return {std::min<std::size_t>(targets, 1), 1};
}

service_plan make_service_plan(const routing::service& service,
                               const base::region_id& region,
                               const routing::snapshot& snapshot,
                               thread_position thread) {
    const auto targets = eligible_targets(service, region);
    const auto instances = sharing_instances(region, snapshot);
    const auto own =
        std::lower_bound(instances.begin(), instances.end(), snapshot.self) -
        instances.begin();
    service_plan plan;
    plan.fleet_threads =
        static_cast<std::uint32_t>(instances.size()) * thread.count;
    std::size_t long_count = 0;
    if (has_long_kind(service) && targets.size() > 1) {
        long_count = (targets.size() * service.long_running_percent + 99) / 100;
    }
    std::vector<const routing::target*> long_targets;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& t = *targets[i];
        plan.slots += t.slots;
        if (i < long_count) {
            long_targets.push_back(&t);
            plan.long_targets.push_back(t.id);
        } else {
            plan.short_slots += t.slots;
            plan.short_targets.push_back(t.id);
        }
    }
    const auto thread_rank =
        static_cast<std::size_t>(own) * thread.count + thread.index;
    const auto size = compute_subset_size(targets.size(), plan.fleet_threads,
                                          service.max_connections_per_target);
    plan.connections_per_target = size.connections;
    if (size.targets > 0 && size.targets < targets.size()) {
        plan.subset = select_subset(targets, size.targets, thread_rank);
    }
    assign_long_slots(plan, long_targets, thread_rank);
    return plan;
}

} // namespace pollenreel::request
