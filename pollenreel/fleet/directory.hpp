// Which entry instances a caller is told to use: those of its failure domain,
// or of its region where one instance alone would have to serve it; others
// only if its region has none.
#pragma once

#include "pollenreel/fleet/view.hpp"

#include <cstddef>
#include <vector>

namespace pollenreel::fleet {

struct caller_place {
    base::region_id region;
    base::failure_domain_id failure_domain;
};

// At most `most` addresses, of live instances.
[[nodiscard]] std::vector<base::endpoint>
instances_for(const std::vector<instance>& live, const caller_place& caller,
              std::size_t most);

} // namespace pollenreel::fleet
