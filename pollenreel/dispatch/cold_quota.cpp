#include "pollenreel/dispatch/cold_quota.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// Fraction of the bound that is allocated: instances with an outdated view may
// use as much again.
constexpr double allocated_fraction = 0.5;

} // namespace

std::size_t cold_quota(double bound, const base::target_id& target,
                       const base::instance_id& self,
                       const std::vector<fleet::instance>& instances) {
    const auto allowance = std::max<std::size_t>(
        1, static_cast<std::size_t>(bound * allocated_fraction));
    const auto live_count = std::max<std::size_t>(1, instances.size());
    if (live_count <= allowance) {
        return allowance / live_count;
    }
    const auto own_score = fleet::rendezvous_score(target.str(), self.str());
    const auto ranked_before = std::count_if(
        instances.begin(), instances.end(), [&](const auto& other) {
            return other.id != self &&
                   fleet::rendezvous_score(target.str(), other.id.str()) >
                       own_score;
        });
    return static_cast<std::size_t>(ranked_before) < allowance ? 1 : 0;
}

} // namespace pollenreel::dispatch
