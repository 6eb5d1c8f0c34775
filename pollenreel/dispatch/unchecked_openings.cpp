#include "pollenreel/dispatch/unchecked_openings.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Fraction of the bound that requests on unchecked connections use. Half of the
// bound is allocated to instances that know that the target is cold, and the
// number of the others in a second varies by a multiple of its mean.
constexpr double unchecked_fraction = 1.0 / 16;
// What was not used before does not count, so that a burst finds no reserve.
constexpr seconds max_gap{1};
// Of a target's part, for one that more objects prefer than others.
constexpr double max_popularity = 2;

// Requests a second to one target, of one instance.
double rate_per_target(const unchecked_query& q) {
    return q.instances == 0 ? 0
                            : q.bound * unchecked_fraction /
                                  static_cast<double>(q.instances);
}

} // namespace

bool unchecked_openings::allows(const unchecked_query& q, base::time_point now,
                                double draw) const {
    const seconds gap =
        m_opened_at ? std::min<seconds>(now - *m_opened_at, max_gap) : max_gap;
    return draw <
           rate_per_target(q) * static_cast<double>(q.targets) * gap.count();
}

base::duration unchecked_interval(const unchecked_query& q) {
    const double rate = rate_per_target(q) * max_popularity;
    constexpr seconds longest{std::chrono::hours(1)};
    return std::chrono::duration_cast<base::duration>(
        rate * longest.count() > 1 ? seconds(1 / rate) : longest);
}

} // namespace pollenreel::dispatch
