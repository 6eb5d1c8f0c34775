#include "pollenreel/dispatch/limit_share.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::dispatch {

namespace {

// Fractions of the limit for the instances that send and for those that probe.
constexpr double sent_fraction = 0.9;
constexpr double probed_fraction = 0.1;
// Targets that accept nearly nothing are still probed at this rate by all
// instances together, or the end of the limit would not be noticed.
constexpr double min_rate = 0.2;
// Requests that instances may have saved up and send at once, over all of them:
// a window of 4 s may exceed the limit by half and five requests. Half of that
// is left to instances with another view of the fleet.
constexpr double saved_per_rate = 1;
constexpr double saved_constant = 2.5;

// Position of `self` in the target's rendezvous order of one side: the
// instances in the target's region, or the others.
std::size_t rank_of(const fleet::instance& self, const target_limit& limit,
                    const std::vector<fleet::instance>& instances) {
    const auto score_of = [&](const fleet::instance& i) {
        return fleet::rendezvous_score(limit.target.str(), i.id.str());
    };
    const bool is_home = self.region == limit.region;
    const auto own_score = score_of(self);
    return static_cast<std::size_t>(std::count_if(
        instances.begin(), instances.end(), [&](const auto& other) {
            return other.id != self.id &&
                   (other.region == limit.region) == is_home &&
                   score_of(other) > own_score;
        }));
}

} // namespace

double home_fraction(double home_slots, double all_slots, std::size_t regions) {
    if (home_slots <= 0 || regions < 2) {
        return 1;
    }
    return std::min(1.0, all_slots / home_slots / static_cast<double>(regions));
}

limit_share share_limit(const target_limit& limit, const fleet::instance& self,
                        const std::vector<fleet::instance>& instances) {
    const auto is_home = [&](const fleet::instance& i) {
        return i.region == limit.region;
    };
    std::size_t home = is_home(self) ? 1 : 0;
    std::size_t abroad = 1 - home;
    for (const auto& i : instances) {
        if (i.id != self.id) {
            ++(is_home(i) ? home : abroad);
        }
    }
    const auto places = std::max<std::size_t>(
        1, static_cast<std::size_t>(limit.per_second * saved_per_rate +
                                    saved_constant));
    const auto wanted_home =
        home == 0
            ? 0
            : std::max<std::size_t>(
                  1, static_cast<std::size_t>(std::llround(
                         static_cast<double>(places) * limit.home_fraction)));
    const auto home_places = std::min(home, wanted_home);
    const auto abroad_places = std::min(abroad, places - wanted_home);
    const auto senders = home_places + abroad_places;
    if (rank_of(self, limit, instances) <
        (is_home(self) ? home_places : abroad_places)) {
        const auto n = static_cast<double>(senders);
        const double rate =
            std::max(limit.per_second * sent_fraction, min_rate);
        return {rate / n,
                std::max(1.0, std::floor(static_cast<double>(places) / n)),
                {}};
    }
    const auto probing = static_cast<double>(home + abroad - senders);
    const double rate = std::max(limit.per_second * probed_fraction, min_rate);
    return {0, 0,
            std::chrono::duration_cast<base::duration>(
                std::chrono::duration<double>(probing / rate))};
}

} // namespace pollenreel::dispatch
