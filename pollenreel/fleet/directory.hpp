// Selects the entry instances that a caller should use: those of its failure
// domain if there are at least two, else those of its region, else those of the
// regions in which its requests may run, else any.
#pragma once

#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <vector>

namespace pollenreel::fleet {

struct caller_location {
    base::region_id region;
    base::failure_domain_id failure_domain;
    // Where its requests may run; empty for any region.
    std::vector<base::region_id> home_regions{};
};

// Returns at most `max_count` endpoints of live instances.
[[nodiscard]] std::vector<base::endpoint>
select_instances(const std::vector<instance>& live,
                 const caller_location& caller, std::size_t max_count);

} // namespace pollenreel::fleet
