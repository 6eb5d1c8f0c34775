#include "pollenreel/dispatch/cold_rate.hpp"

#include "pollenreel/fleet/rendezvous.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// Part of the bound that is handed out: instances with an older view may hold
// as much again.
constexpr double handed_out = 0.5;

} // namespace

std::size_t cold_share(double bound, const base::target_id& target,
                       const base::instance_id& self,
                       const std::vector<fleet::instance>& instances) {
    const auto places =
        std::max<std::size_t>(1, static_cast<std::size_t>(bound * handed_out));
    const auto live = std::max<std::size_t>(1, instances.size());
    if (live <= places) {
        return places / live;
    }
    const auto own = fleet::rendezvous_score(target.str(), self.str());
    const auto before = std::count_if(
        instances.begin(), instances.end(), [&](const auto& other) {
            return other.id != self &&
                   fleet::rendezvous_score(target.str(), other.id.str()) > own;
        });
    return static_cast<std::size_t>(before) < places ? 1 : 0;
}

} // namespace pollenreel::dispatch
