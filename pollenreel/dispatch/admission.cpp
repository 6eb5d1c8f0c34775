#include "pollenreel/dispatch/admission.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using std::chrono::milliseconds;

// Longest expected time of a request that has to queue at its target, in
// target latencies, by priority: as queues grow, the lower ranks are refused
// first. A request that finds a free slot is never refused for being late.
constexpr double highest_priority_limit = 2.5;
constexpr double limit_step = 0.5;
constexpr double min_limit = 1.0;

// A request whose time left is less than this part of the expected time is
// not sent: its target would work for nobody.
constexpr double min_time_left_fraction = 0.5;

constexpr milliseconds min_retry_after{50};

double queueing_limit(std::uint32_t priority) {
    return std::max(min_limit, highest_priority_limit - limit_step * priority);
}

} // namespace

bool worth_sending(base::duration expected, base::duration time_left) {
    return std::chrono::duration<double>(expected) * min_time_left_fraction <=
           time_left;
}

std::variant<admitted, rejected> admit(const placement& p,
                                       const admission_query& q) {
    const bool queues = p.wait > base::duration::zero();
    const auto limit = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(q.target_latency) *
        queueing_limit(q.priority));
    const bool in_time = p.expected <= q.time_left;
    if (worth_sending(p.expected, q.time_left) &&
        (!queues || (in_time && q.waited + p.expected <= limit))) {
        return admitted{};
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(p.wait);
    return rejected{std::max(wait, min_retry_after)};
}

} // namespace pollenreel::dispatch
