#include "pollenreel/dispatch/placement.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Weight of the time that the work takes against the wait before it: work
// keeps a slot from others, most of all where it is done on an object that
// the target has not cached.
constexpr double work_weight = 1.6;
// Cost of each place further back in an object's order, in target latencies.
// An object that is worked on in one more place displaces others from a cache
// there, and costs the longer work of a first time: in a queue it is better
// to wait where the object is.
constexpr double position_cost = 1.0;
// Cost of an attempt at a target that fails or sheds every request, in target
// latencies.
constexpr double failure_cost = 3;
// An attempt open for this multiple of the expected time, with nothing
// answered since, tells of a target that no longer answers.
constexpr int unresponsive_factor = 4;
// Cost of such a target, in target latencies.
constexpr double unresponsive_cost = 4;

struct scored_candidate {
    const candidate* entry = nullptr;
    std::uint64_t score = 0;
};

bool usable(const candidate& c, const placement_query& q) {
    return !c.cold_quota_exhausted && !c.state->ejected(q.now) &&
           std::find(q.tried.begin(), q.tried.end(), c.target->id) ==
               q.tried.end();
}

std::vector<scored_candidate>
by_rendezvous_score(std::span<const candidate> candidates,
                    const placement_query& q) {
    std::vector<scored_candidate> order;
    order.reserve(candidates.size());
    for (const auto& c : candidates) {
        order.push_back(
            {&c, fleet::rendezvous_score(q.object, c.target->id.str())});
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b) { return a.score > b.score; });
    return order;
}

placement_rank rank_at(std::size_t position) {
    return static_cast<placement_rank>(std::min(position, placement_ranks - 1));
}

placement estimate(const candidate& c, std::size_t position,
                   const placement_query& q) {
    placement p;
    p.target = c.target;
    p.kind = {rank_at(position), c.abroad,
              c.state->objects().contains(q.object_hash, q.now)};
    p.occupancy = c.state->occupancy();
    const double slots = std::max(1U, c.target->slots);
    const auto work =
        seconds(q.profile->expected(p.kind)) * c.state->slowdown(q.now);
    const double ahead = p.occupancy + 1 - slots;
    const auto wait = ahead > 0 ? work * (ahead / slots) : seconds(0);
    const seconds latency(q.target_latency);
    auto cost = wait + work * work_weight +
                latency * (position_cost * static_cast<double>(position) +
                           failure_cost * c.state->failure_rate(q.now));
    const auto limit = std::max<base::duration>(q.target_latency,
                                                q.profile->expected(p.kind)) *
                       unresponsive_factor;
    if (c.state->unresponsive(limit, q.now)) {
        cost += latency * unresponsive_cost;
    }
    p.wait = std::chrono::duration_cast<base::duration>(wait);
    p.expected = std::chrono::duration_cast<base::duration>(wait + work);
    p.cost = std::chrono::duration_cast<base::duration>(cost);
    return p;
}

} // namespace

placements find_placements(std::span<const candidate> candidates,
                           const placement_query& q) {
    placements best;
    std::size_t home = 0;
    std::size_t abroad = 0;
    for (const auto& r : by_rendezvous_score(candidates, q)) {
        const auto position = r.entry->abroad ? abroad++ : home++;
        if (!usable(*r.entry, q)) {
            continue;
        }
        ++best.candidates;
        auto& best_on_side = r.entry->abroad ? best.abroad : best.home;
        const auto p = estimate(*r.entry, position, q);
        if (!best_on_side || p.cost < best_on_side->cost) {
            best_on_side = p;
        }
    }
    return best;
}

} // namespace pollenreel::dispatch
