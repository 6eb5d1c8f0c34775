#include "pollenreel/dispatch/placement.hpp"

#include "pollenreel/dispatch/rendezvous.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Cost of each place further back in an object's order, as a part of the
// target latency: keeps to the order among targets that are as good.
constexpr double order_cost = 0.02;
// Cost of an attempt at a target that fails or sheds every request, in target
// latencies.
constexpr double failure_cost = 3;
// An attempt open for this multiple of the expected time, with nothing
// answered since, tells of a target that no longer answers.
constexpr int unresponsive_factor = 4;
// Cost of such a target, in target latencies.
constexpr double unresponsive_cost = 4;

struct ranked {
    const candidate* of = nullptr;
    std::uint64_t score = 0;
};

placement_rank rank_at(bool home, std::size_t place) {
    constexpr std::array<placement_rank, 3> at_home = {
        placement_rank::home_first, placement_rank::home_second,
        placement_rank::home_third};
    constexpr std::array<placement_rank, 2> away = {
        placement_rank::away_first, placement_rank::away_second};
    if (home) {
        return place < at_home.size() ? at_home.at(place)
                                      : placement_rank::home_other;
    }
    return place < away.size() ? away.at(place) : placement_rank::away_other;
}

bool usable(const candidate& c, const placement_query& q) {
    return !c.cold_rate_used && !c.state->ejected(q.now) &&
           std::find(q.tried.begin(), q.tried.end(), c.target->id) ==
               q.tried.end();
}

std::vector<ranked> in_order(std::span<const candidate> candidates,
                             const placement_query& q) {
    std::vector<ranked> order;
    order.reserve(candidates.size());
    for (const auto& c : candidates) {
        order.push_back({&c, rendezvous_score(q.object, c.target->id.str())});
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return a.of->home != b.of->home ? a.of->home : a.score > b.score;
    });
    return order;
}

placement estimate(const candidate& c, placement_rank rank,
                   const placement_query& q) {
    placement p;
    p.target = c.target;
    p.rank = rank;
    p.occupancy = c.state->occupancy();
    const double slots = std::max(1U, c.target->slots);
    const auto work =
        seconds(q.profile->expected(rank)) * c.state->slowdown(q.now);
    const double ahead = p.occupancy + 1 - slots;
    const auto wait = ahead > 0 ? work * (ahead / slots) : seconds(0);
    p.wait = std::chrono::duration_cast<base::duration>(wait);
    p.expected = std::chrono::duration_cast<base::duration>(wait + work);
    return p;
}

// What is compared: the expected time, and what speaks against the target.
seconds cost_of(const candidate& c, const placement& p, std::size_t place,
                const placement_query& q) {
    const seconds latency(q.target_latency);
    auto cost = seconds(p.expected) +
                latency * (order_cost * static_cast<double>(place) +
                           failure_cost * c.state->failure_share(q.now));
    const auto limit = std::max<base::duration>(q.target_latency,
                                                q.profile->expected(p.rank)) *
                       unresponsive_factor;
    if (c.state->unresponsive(limit, q.now)) {
        cost += latency * unresponsive_cost;
    }
    return cost;
}

} // namespace

std::optional<placement> place(std::span<const candidate> candidates,
                               const placement_query& q) {
    std::optional<placement> best;
    seconds least{};
    std::size_t compared = 0;
    std::size_t home = 0;
    std::size_t away = 0;
    for (const auto& r : in_order(candidates, q)) {
        const auto place = r.of->home ? home++ : away++;
        if (!usable(*r.of, q)) {
            continue;
        }
        ++compared;
        const auto p = estimate(*r.of, rank_at(r.of->home, place), q);
        const auto cost = cost_of(*r.of, p, place, q);
        if (!best || cost < least) {
            best = p;
            least = cost;
        }
    }
    if (best) {
        best->candidates = compared;
    }
    return best;
}

} // namespace pollenreel::dispatch
