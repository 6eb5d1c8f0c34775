// Which entry instances a caller is told to use: those of its failure domain,
// or of its region where one instance alone would have to serve it; others
// only if its region has none.
#pragma once

#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <vector>

namespace pollenreel::fleet {

struct caller_location {
    base::region_id region;
    base::failure_domain_id failure_domain;
};

// At most `most` addresses, of live instances.
[[nodiscard]] std::vector<base::endpoint>
select_instances(const std::vector<instance>& live,
                 const caller_location& caller, std::size_t max_count);

} // namespace pollenreel::fleet
