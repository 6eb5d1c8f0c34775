// Filter: chooses the region that a request is sent to.
#pragma once

#include "pollenreel/request/target_tracker.hpp"
#include "pollenreel/request/types.hpp"
#include "pollenreel/shift/admission_controller.hpp"

namespace pollenreel::request {

// Chooses the local region if the service has a target there that accepts new
// work and that `tracker` considers reachable; the destination of a shift for
// the fraction of requests that the shift moves; or another region, within its
// headroom, when the local one accepts no work. Never exceeds the allowances of
// `spender`. Refuses with outcome not_run: no_target, overloaded.
[[nodiscard]] filter_result<shift::admission>
choose_region(const classified_request& request, std::uint64_t request_bytes,
              const routing::snapshot& snapshot, const target_tracker& tracker,
              shift::admission_controller& spender, base::time_point now);

} // namespace pollenreel::request
