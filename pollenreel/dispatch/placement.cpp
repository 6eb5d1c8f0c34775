#include "pollenreel/dispatch/placement.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Weight of the work time relative to the wait before it: work occupies a slot
// that other requests need, the longer if the object is not cached.
constexpr double work_weight = 1.6;
// Cost of each position further back in an object's rendezvous order, in
// target latencies. Using one more target for an object takes the longer time
// of a cache miss and evicts other objects there, so a short wait at a target
// that has the object cached is cheaper.
constexpr double position_cost = 1.0;
// Cost of a target that fails or sheds every request, in target latencies.
constexpr double failure_cost = 3;
// A target is taken as unresponsive if an attempt has been open for this
// multiple of the expected time and nothing has been answered since.
constexpr int unresponsive_factor = 4;
// Cost of an unresponsive target, in target latencies.
constexpr double unresponsive_cost = 4;

struct scored_candidate {
    const candidate* entry = nullptr;
    std::uint64_t score = 0;
};

bool usable(const candidate& option, const placement_query& query) {
    return !option.withheld && !option.lacks_connection &&
           !option.state->ejected(query.now) &&
           std::find(query.tried.begin(), query.tried.end(),
                     option.target->id) == query.tried.end();
}

std::vector<scored_candidate>
by_rendezvous_score(std::span<const candidate> candidates,
                    const placement_query& query) {
    std::vector<scored_candidate> order;
    order.reserve(candidates.size());
    for (const auto& option : candidates) {
        order.push_back({&option, fleet::rendezvous_score(
                                      query.object, option.target->id.str())});
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b) { return a.score > b.score; });
    return order;
}

placement_rank rank_at(std::size_t position) {
    return static_cast<placement_rank>(std::min(position, placement_ranks - 1));
}

placement estimate(const candidate& option, std::size_t position,
                   const placement_query& query) {
    placement estimated;
    estimated.target = option.target;
    estimated.kind = {
        rank_at(position), option.abroad,
        option.state->objects().contains(query.object_hash, query.now)};
    estimated.occupancy = option.state->occupancy(query.now);
    const double slots = std::max(1U, option.target->slots);
    const auto work = seconds(query.profile->expected(estimated.kind)) *
                      option.state->slowdown(query.now);
    const double ahead = estimated.occupancy + 1 - slots;
    const auto wait = ahead > 0 ? work * (ahead / slots) : seconds(0);
    const seconds latency(query.target_latency);
    auto cost =
        wait + work * work_weight +
        latency * (position_cost * static_cast<double>(position) +
                   failure_cost * option.state->failure_rate(query.now));
    const auto limit =
        std::max<base::duration>(query.target_latency,
                                 query.profile->expected(estimated.kind)) *
        unresponsive_factor;
    if (option.state->unresponsive(limit, query.now)) {
        cost += latency * unresponsive_cost;
    }
    estimated.wait = std::chrono::duration_cast<base::duration>(wait);
    estimated.expected =
        std::chrono::duration_cast<base::duration>(wait + work);
    estimated.cost = std::chrono::duration_cast<base::duration>(cost);
    return estimated;
}

} // namespace

placements find_placements(std::span<const candidate> candidates,
                           const placement_query& query) {
    placements best;
    std::optional<placement> full_home;
    std::optional<placement> full_abroad;
    std::size_t home = 0;
    std::size_t abroad = 0;
    for (const auto& scored : by_rendezvous_score(candidates, query)) {
        const auto position = scored.entry->abroad ? abroad++ : home++;
        if (!usable(*scored.entry, query)) {
            continue;
        }
        ++best.candidates;
        const auto estimated = estimate(*scored.entry, position, query);
        best.shortest_wait = std::min(
            best.shortest_wait.value_or(estimated.wait), estimated.wait);
        if (query.needs_room && estimated.wait > base::duration::zero()) {
            continue;
        }
        const bool abroad_entry = scored.entry->abroad;
        // For as long as an answer may take, the slots of a target that just
        // refused a request are likely to be in use still.
        const bool full =
            scored.entry->state->full_within(query.target_latency, query.now);
        auto& best_on_side = abroad_entry ? (full ? full_abroad : best.abroad)
                                          : (full ? full_home : best.home);
        if (!best_on_side || estimated.cost < best_on_side->cost) {
            best_on_side = estimated;
        }
    }
    if (!query.needs_room) {
        best.home = best.home ? best.home : full_home;
        best.abroad = best.abroad ? best.abroad : full_abroad;
    }
    return best;
}

} // namespace pollenreel::dispatch
