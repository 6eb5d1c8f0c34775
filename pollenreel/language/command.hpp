// What operators ask and command, as typed values.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace pollenreel::language {

// Queries.
struct status {};
struct where {
    base::service_id service;
    base::failure_domain_id from;
};
// The inputs and the reason of the decision that `where` shows.
struct why {
    base::service_id service;
    base::failure_domain_id from;
};
struct list_shifts {};
struct history {};
struct report_burn {};

// What a drain takes out of service.
using drainable =
    std::variant<base::target_id, base::failure_domain_id, base::instance_id>;

// Commands.
struct drain {
    drainable what;
};
struct undrain {
    drainable what;
};
// Moves `percent` of the service's traffic of region `from` to region `to`,
// over `over`, with at most `cap_megabits_per_second` crossing.
struct start_shift {
    base::service_id service;
    base::region_id from;
    base::region_id to;
    std::uint32_t percent = 100;
    std::uint64_t cap_megabits_per_second = 0;
    std::chrono::seconds over{0};
};
struct pause_shift {
    base::shift_id shift;
};
struct resume_shift {
    base::shift_id shift;
};
// Moves back what was moved, at the same pace.
struct reverse_shift {
    base::shift_id shift;
};
// Ends the shift at once; nothing more is moved by it.
struct abort_shift {
    base::shift_id shift;
};
// Most requests a second of a service that targets in a region are given.
struct set_limit {
    base::service_id service;
    base::region_id region;
    std::uint64_t requests_per_second = 0;
};
struct remove_limit {
    base::service_id service;
    base::region_id region;
};

using query =
    std::variant<status, where, why, list_shifts, history, report_burn>;
using change =
    std::variant<drain, undrain, start_shift, pause_shift, resume_shift,
                 reverse_shift, abort_shift, set_limit, remove_limit>;
using command = std::variant<query, change>;

} // namespace pollenreel::language
