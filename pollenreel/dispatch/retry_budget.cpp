#include "pollenreel/dispatch/retry_budget.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// Fraction of the ratio that is used. The bound counts a window's requests by
// their arrival, the budget only once they have been read.
constexpr double ratio_used = 0.75;
// Fraction of the slack that is used: instances that restart or do not know of
// each other's failure would count it twice.
constexpr double slack_used = 0.5;

} // namespace

void retry_budget::advance(base::time_point now) {
    const auto width = m_limits.window / buckets;
    const auto number = now.time_since_epoch() / width;
    const auto steps = number - m_current;
    if (steps <= 0) {
        return;
    }
    const auto count = std::min<std::int64_t>(steps, buckets);
    for (std::int64_t i = 0; i < count; ++i) {
        m_buckets.at(static_cast<std::size_t>((number - i) % buckets)) = {};
    }
    m_current = number;
}

void retry_budget::on_request(base::time_point now) {
    advance(now);
    ++m_buckets.at(static_cast<std::size_t>(m_current % buckets)).requests;
}

double retry_budget::remaining(std::size_t instances, base::time_point now) {
    advance(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& b : m_buckets) {
        requests += b.requests;
        repeats += b.repeats;
    }
    const double slack = instances == 0 ? 0
                                        : m_limits.slack * slack_used /
                                              static_cast<double>(instances);
    return requests * m_limits.ratio * ratio_used + slack - repeats;
}

bool retry_budget::try_spend(std::size_t instances, base::time_point now) {
    if (remaining(instances, now) < 1) {
        return false;
    }
    ++m_buckets.at(static_cast<std::size_t>(m_current % buckets)).repeats;
    return true;
}

} // namespace pollenreel::dispatch
