#include "pollenreel/routes/configuration.hpp"

#include <algorithm>

namespace pollenreel::routes {

namespace {

// Keeps the priorities of routes within the step between two tenants.
constexpr double route_step = 0.3;
constexpr std::uint32_t max_route_priority = 3;

bool contains(const std::vector<base::region_id>& homes,
              const base::region_id& region) {
    return homes.empty() ||
           std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace

bool may_run_in(const route& r, const tenant* t,
                const base::region_id& region) {
    return contains(r.home_regions, region) &&
           (t == nullptr || contains(t->home_regions, region));
}

bool homes_are_disjoint(const route& r, const tenant* t) {
    return t != nullptr && !r.home_regions.empty() &&
           !t->home_regions.empty() &&
           std::none_of(
               r.home_regions.begin(), r.home_regions.end(),
               [&](const auto& home) { return may_run_in(r, t, home); });
}

std::size_t count_disjoint_homes(const configuration& c) {
    if (!c.tenants) {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& r : c.routes) {
        for (const auto& t : *c.tenants) {
            count += !r.is_public && homes_are_disjoint(r, &t) ? 1 : 0;
        }
    }
    return count;
}

double rank_of(const route& r, const tenant* t) {
    if (t == nullptr || !t->priority) {
        return r.priority;
    }
    return *t->priority + route_step * std::min(r.priority, max_route_priority);
}

} // namespace pollenreel::routes
