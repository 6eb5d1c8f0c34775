#include "pollenreel/dispatch/admission.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using std::chrono::milliseconds;

// Limit on the expected time of a request that has to queue at its target, in
// multiples of the target latency. It falls with the rank, so that less
// important requests are refused first as queues grow. A request for which a
// slot is free is never refused for being late.
constexpr double highest_priority_limit = 2.5;
constexpr double limit_step = 0.5;
constexpr double min_limit = 1.0;
// The same for tenants above their share. It is lower, so that of two tenants
// of low priority the one above its share is refused first.
constexpr double min_limit_above_share = 0.7;

// A request whose time left is below this fraction of the expected time is
// not sent, because its caller would be gone before the answer.
constexpr double min_time_left_fraction = 0.5;

constexpr milliseconds min_retry_after{50};

double queueing_limit(double rank, double excess) {
    const double of_rank =
        std::max(min_limit, highest_priority_limit - limit_step * rank);
    return std::max(min_limit_above_share, of_rank - limit_step * excess);
}

// Twice the mean demand counts as one step of rank.
constexpr double max_excess_rank = 1.5;
// Chance makes the demand of a small tenant vary by this much.
constexpr double usual_variation = 1.25;

} // namespace

double excess_demand_rank(double relative_demand) {
    return std::clamp((relative_demand - usual_variation) /
                          (2 - usual_variation),
                      0.0, max_excess_rank);
}

bool worth_sending(base::duration expected, base::duration time_left) {
    return std::chrono::duration<double>(expected) * min_time_left_fraction <=
           time_left;
}

namespace {

// Whether a request may wait for a slot.
bool may_queue(const placement& chosen, const admission_query& query) {
    using seconds = std::chrono::duration<double>;
    if (chosen.expected > query.time_left) {
        return false;
    }
    const seconds latency(query.target_latency);
    if (query.shed_late <= 0) {
        const auto limit = std::chrono::duration_cast<base::duration>(
            latency * queueing_limit(query.rank, query.excess));
        return query.waited + chosen.expected <= limit;
    }
    const seconds work(chosen.expected - chosen.wait);
    // Each rank may wait as long as the work that is more urgent by one leaves
    // of its own time, so that it refuses before that has to.
    const auto longest =
        (latency * query.shed_late - work) / (1 + query.rank + query.excess);
    return seconds(query.waited + chosen.wait) <= longest;
}

} // namespace

std::variant<admitted, rejected> admit(const placement& chosen,
                                       const admission_query& query) {
    const bool queues = chosen.wait > base::duration::zero();
    if (worth_sending(chosen.expected, query.time_left) &&
        (!queues || may_queue(chosen, query))) {
        return admitted{};
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(chosen.wait);
    return rejected{std::max(wait, min_retry_after)};
}

} // namespace pollenreel::dispatch
