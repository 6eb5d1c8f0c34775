// Filter: determines the declared kind of work and the deadline of a request.
#pragma once

#include "pollenreel/request/types.hpp"

namespace pollenreel::request {

// The kind is the one that the caller names, or else the first declared kind
// that lists the method. A caller may shorten the declared deadline but not
// extend it. Refuses with outcome not_run and one of these reasons:
// unknown_service, unknown_kind, bad_deadline.
[[nodiscard]] filter_result<classified_request>
classify(const incoming_request& request, const routing::snapshot& snapshot,
         base::time_point now);

} // namespace pollenreel::request
