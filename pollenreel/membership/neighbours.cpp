#include "pollenreel/membership/neighbours.hpp"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace pollenreel::membership {

namespace {

std::uint64_t ring_position(const base::instance_id& id, std::size_t ring) {
    return XXH3_64bits_withSeed(id.str().data(), id.str().size(), ring + 1);
}

const std::string& region_name(const peer::member& m,
                               const region_map& regions) {
    const auto found = regions.find(m.failure_domain);
    return found == regions.end() ? m.failure_domain.str()
                                  : found->second.str();
}

// Returns the first member after the own ring position that `accepts` admits.
template <class Predicate>
std::optional<base::instance_id>
successor(const member_table& members, std::size_t ring, Predicate accepts) {
    const auto& self = members.self().member.instance;
    const auto own_position = ring_position(self, ring);
    std::optional<base::instance_id> best;
    std::uint64_t best_distance = 0;
    for (const auto& [id, e] : members.all()) {
        if (id == self || !accepts(e.member)) {
            continue;
        }
        const auto distance =
            ring_position(id, ring) - own_position; // modulo 2^64
        if (!best || distance < best_distance) {
            best = id;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace

std::vector<base::instance_id> choose_neighbours(const member_table& members,
                                                 const region_map& regions) {
    std::vector<base::instance_id> chosen;
    const auto add = [&](const std::optional<base::instance_id>& id) {
        if (id &&
            std::find(chosen.begin(), chosen.end(), *id) == chosen.end()) {
            chosen.push_back(*id);
        }
    };
    for (std::size_t ring = 0; ring < global_rings; ++ring) {
        add(successor(members, ring, [](const auto&) { return true; }));
    }
    const auto own_region = region_name(members.self().member, regions);
    for (std::size_t ring = 0; ring < regional_rings; ++ring) {
        add(successor(members, global_rings + ring, [&](const auto& m) {
            return region_name(m, regions) == own_region;
        }));
    }
    return chosen;
}

} // namespace pollenreel::membership
