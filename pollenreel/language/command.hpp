// What operators ask and command, as typed values.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <variant>

namespace pollenreel::language {

// Queries.
struct status {};
struct where {
    base::service_id service;
    base::failure_domain_id from;
};

// Commands.
struct drain_target {
    base::target_id target;
};
struct undrain_target {
    base::target_id target;
};

using command = std::variant<status, where, drain_target, undrain_target>;

} // namespace pollenreel::language
