// Divides the requests of a route among its services.
#pragma once

#include "pollenreel/routes/configuration.hpp"

namespace pollenreel::routes {

// The service of one request; `draw` is uniform in [0, 1). Each service gets
// its weight's part of the draws; the weights of a service that is listed
// repeatedly add up. At least one weight must be positive.
[[nodiscard]] const base::service_id& select_service(const route& r,
                                                     double draw);

} // namespace pollenreel::routes
