#include "pollenreel/dispatch/queueing_ranks.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::dispatch {

namespace {

// The excess demand of a tenant is added to the rank, which takes any value
// then. Ranks are rounded, so that few are stored.
constexpr double steps_per_rank = 10;
// Longer than the target latencies that are asked about.
constexpr std::chrono::seconds kept{5};

std::int64_t step_of(double rank) {
    return std::llround(rank * steps_per_rank);
}

} // namespace

void queueing_ranks::on_queueing(double rank, base::time_point now) {
    std::erase_if(m_last_queueing,
                  [&](const auto& one) { return now - one.second > kept; });
    m_last_queueing[step_of(rank)] = now;
}

bool queueing_ranks::has_more_urgent(double rank, base::duration period,
                                     base::time_point now) const {
    return std::any_of(
        m_last_queueing.begin(), m_last_queueing.lower_bound(step_of(rank)),
        [&](const auto& one) { return now - one.second < period; });
}

} // namespace pollenreel::dispatch
