// Filter: chooses the region whose targets a request goes to.
#pragma once

#include "pollenreel/request/types.hpp"

namespace pollenreel::request {

// This instance's own region if the service has a target there that takes new
// work, else the first region that has one. Refuses with not_run: no_target.
[[nodiscard]] filtered<base::region_id>
choose_region(const classified& c, const routing::snapshot& s);

} // namespace pollenreel::request
