// What operators ask and command, as typed values.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <variant>

namespace pollenreel::language {

// Queries.
struct status {
    friend bool operator==(const status&, const status&) = default;
};
struct where {
    base::service_id service;
    base::failure_domain_id from;

    friend bool operator==(const where&, const where&) = default;
};
// The inputs and the reason of the decision that `where` shows.
struct why {
    base::service_id service;
    base::failure_domain_id from;

    friend bool operator==(const why&, const why&) = default;
};
struct list_shifts {
    friend bool operator==(const list_shifts&, const list_shifts&) = default;
};
struct history {
    friend bool operator==(const history&, const history&) = default;
};
struct report_burn {
    friend bool operator==(const report_burn&, const report_burn&) = default;
};

// What a drain takes out of service.
using drainable =
    std::variant<base::target_id, base::failure_domain_id, base::instance_id>;

// Commands.
struct drain {
    drainable what;

    friend bool operator==(const drain&, const drain&) = default;
};
struct undrain {
    drainable what;

    friend bool operator==(const undrain&, const undrain&) = default;
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

    friend bool operator==(const start_shift&, const start_shift&) = default;
};
struct pause_shift {
    base::shift_id shift;

    friend bool operator==(const pause_shift&, const pause_shift&) = default;
};
struct resume_shift {
    base::shift_id shift;

    friend bool operator==(const resume_shift&, const resume_shift&) = default;
};
// Moves back what was moved, at the same pace.
struct reverse_shift {
    base::shift_id shift;

    friend bool operator==(const reverse_shift&,
                           const reverse_shift&) = default;
};
// Ends the shift at once; nothing more is moved by it.
struct abort_shift {
    base::shift_id shift;

    friend bool operator==(const abort_shift&, const abort_shift&) = default;
};
// Most requests a second of a service that targets in a region are given.
struct set_limit {
    base::service_id service;
    base::region_id region;
    std::uint64_t requests_per_second = 0;

    friend bool operator==(const set_limit&, const set_limit&) = default;
};
struct remove_limit {
    base::service_id service;
    base::region_id region;

    friend bool operator==(const remove_limit&, const remove_limit&) = default;
};

using query =
    std::variant<status, where, why, list_shifts, history, report_burn>;
using change =
    std::variant<drain, undrain, start_shift, pause_shift, resume_shift,
                 reverse_shift, abort_shift, set_limit, remove_limit>;
using command = std::variant<query, change>;

} // namespace pollenreel::language
