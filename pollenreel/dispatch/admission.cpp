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

// A request whose time left is less than this part of the expected time is
// not sent: its target would work for nobody.
constexpr double least_time_part = 0.5;

constexpr milliseconds least_retry_after{50};

double limit_of(std::uint32_t priority) {
    return std::max(least_limit,
                    highest_rank_limit - limit_per_rank * priority);
}

} // namespace

bool worth_sending(base::duration expected, base::duration time_left) {
    return std::chrono::duration<double>(expected) * least_time_part <=
           time_left;
}

std::variant<admitted, rejected> admit(const placement& p,
                                       const admission_query& q) {
    const bool queues = p.wait > base::duration::zero();
    const auto limit = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(q.target_latency) * limit_of(q.priority));
    const bool in_time = p.expected <= q.time_left;
    if (worth_sending(p.expected, q.time_left) &&
        (!queues || (in_time && q.waited + p.expected <= limit))) {
        return admitted{};
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(p.wait);
    return rejected{std::max(wait, least_retry_after)};
}

} // namespace pollenreel::dispatch
