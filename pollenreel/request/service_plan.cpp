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
    std::vector<const routing::target*> found;
    for (const auto& t : service.targets) {
        if (t.region == region && t.accepts_new_work) {
            found.push_back(&t);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) {
        return std::pair(hash_weight(a->id.str(), 0), a->id) <
               std::pair(hash_weight(b->id.str(), 0), b->id);
    });
    return found;
}

// The instances that use the targets of `region`: those in it; all of them
// for one that is elsewhere.
std::vector<base::instance_id> sharing_instances(const base::region_id& region,
                                                 const routing::snapshot& s) {
    std::vector<base::instance_id> ids{s.self};
    for (const auto& i : s.instances) {
        const auto at = s.region_of.find(i.failure_domain);
        const bool there = at != s.region_of.end() && at->second == region;
        if (there || s.region != region) {
            ids.push_back(i.id);
        }
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

// Connections to one target without which a thread could not have a request
// under way while it replaces a connection.
constexpr std::uint32_t min_connections = 2;

// The threads that share one shuffled list of targets make up a round; each
// takes its own piece of the list.
std::vector<base::target_id>
select_subset(std::vector<const routing::target*> targets, std::size_t size,
              std::size_t own_rank) {
    const auto pieces = targets.size() / size;
    const auto round = own_rank / pieces;
    std::sort(targets.begin(), targets.end(),
              [&](const auto* a, const auto* b) {
                  return std::pair(hash_weight(a->id.str(), ~round), a->id) <
                         std::pair(hash_weight(b->id.str(), ~round), b->id);
              });
    const auto first = (own_rank % pieces) * size;
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

// Deals the slots of the long targets to the sharers in turn.
void assign_long_slots(service_plan& plan,
                       const std::vector<const routing::target*>& long_targets,
                       std::size_t own_rank) {
    std::vector<std::pair<std::uint64_t, const routing::target*>> dealt;
    for (const auto* t : long_targets) {
        for (std::uint32_t slot = 0; slot < t->slots; ++slot) {
            dealt.emplace_back(hash_weight(t->id.str(), slot + 1), t);
        }
    }
    std::sort(dealt.begin(), dealt.end());
    for (auto i = own_rank; i < dealt.size(); i += plan.fleet_threads) {
        ++plan.own_long_slots[dealt[i].second->id];
    }
}

} // namespace

std::uint32_t service_plan::share_of(std::uint64_t slots_in_all) const {
    const auto part = (slots_in_all + fleet_threads - 1) / fleet_threads;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(part, 1));
}

subset_size compute_subset_size(std::size_t targets, std::uint32_t sharers,
                                std::uint32_t most) {
    if (most == 0) {
        return {targets, std::numeric_limits<std::uint32_t>::max()};
    }
    for (auto size = targets; size > 0; --size) {
        const auto pieces = targets / size;
        const auto rounds = (sharers + pieces - 1) / pieces;
        const auto each = static_cast<std::uint32_t>(most / rounds);
        if (each >= min_connections) {
            return {size, each};
        }
    }
    return {std::min<std::size_t>(targets, 1), 1};
}

service_plan make_service_plan(const routing::service& service,
                               const base::region_id& region,
                               const routing::snapshot& s,
                               thread_position place) {
    const auto targets = eligible_targets(service, region);
    const auto instances = sharing_instances(region, s);
    const auto own =
        std::lower_bound(instances.begin(), instances.end(), s.self) -
        instances.begin();
    service_plan plan;
    plan.fleet_threads =
        static_cast<std::uint32_t>(instances.size()) * place.count;
    std::size_t for_long = 0;
    if (has_long_kind(service) && targets.size() > 1) {
        for_long = (targets.size() * service.long_running_percent + 99) / 100;
    }
    std::vector<const routing::target*> long_targets;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& t = *targets[i];
        plan.slots += t.slots;
        if (i < for_long) {
            long_targets.push_back(&t);
            plan.long_targets.push_back(t.id);
        } else {
            plan.short_slots += t.slots;
            plan.short_targets.push_back(t.id);
        }
    }
    const auto own_rank =
        static_cast<std::size_t>(own) * place.count + place.index;
    const auto size = compute_subset_size(targets.size(), plan.fleet_threads,
                                          service.max_connections_per_target);
    plan.connections_per_target = size.connections;
    if (size.targets > 0 && size.targets < targets.size()) {
        plan.subset = select_subset(targets, size.targets, own_rank);
    }
    assign_long_slots(plan, long_targets, own_rank);
    return plan;
}

} // namespace pollenreel::request
