#include "pollenreel/dispatch/connection_share.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// Occupancy, in slots, from which the share is reduced. What is known of a
// target's load is seconds old, so that a queue is long before it is known:
// with 1.0 two of 3,200 attempts were reset in the replay, with 2.0 27.
constexpr double busy_ratio = 0.75;
// Targets do not tell how many connections they accept while their queue is
// long, so the share is halved then, and once more after a reset.
constexpr std::uint32_t reduction = 2;
constexpr std::uint32_t min_share_for_reserve = 3;

} // namespace

std::uint32_t connection_share(const connection_query& q) {
    auto share = q.limit / static_cast<std::uint32_t>(
                               std::max<std::size_t>(1, q.instances));
    if (q.occupancy >= busy_ratio * std::max(1U, q.slots)) {
        share /= reduction;
    }
    if (q.failed_lately) {
        share /= reduction;
    }
    return std::max(1U, share);
}

std::uint32_t attempts_allowed(std::uint32_t share, bool is_first) {
    return is_first && share >= min_share_for_reserve ? share - 1 : share;
}

} // namespace pollenreel::dispatch
