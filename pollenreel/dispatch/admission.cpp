#include "pollenreel/dispatch/admission.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using std::chrono::milliseconds;

// Longest expected time of a request that has to queue at its target, in
// target latencies, by priority: as queues grow, the lower ranks are refused
// first. A request that finds a free slot is never refused for being late.
constexpr double highest_rank_limit = 2.5;
constexpr double limit_per_rank = 0.5;
constexpr double least_limit = 1.0;

constexpr milliseconds least_retry_after{50};

double limit_of(std::uint32_t priority) {
    return std::max(least_limit,
                    highest_rank_limit - limit_per_rank * priority);
}

} // namespace

std::variant<admitted, rejected> admit(const placement& p,
                                       const admission_query& q) {
    const bool queues = p.wait > base::duration::zero();
    const auto limit = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(q.target_latency) * limit_of(q.priority));
    const bool in_time = p.expected <= q.time_left;
    if (!queues || (in_time && q.waited + p.expected <= limit)) {
        return admitted{};
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(p.wait);
    return rejected{std::max(wait, least_retry_after)};
}

} // namespace pollenreel::dispatch
