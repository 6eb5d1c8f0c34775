// Filter: finds the declared kind of work of a request and its deadline.
#pragma once

#include "pollenreel/request/types.hpp"

namespace pollenreel::request {

// The kind is the one that the caller names, else the first declared kind
// that lists the method. A caller may shorten the declared deadline, not
// lengthen it. Refuses with not_run: unknown_service, unknown_kind,
// bad_deadline.
[[nodiscard]] filter_result<classified_request>
classify(const incoming_request& a, const routing::snapshot& s,
         base::time_point now);

} // namespace pollenreel::request
