// What the platform's store tells about the fleet, decoded: one value for
// each written or removed key.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/routes/configuration.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace pollenreel::fleet {

// What a target says about itself.
struct target_report {
    base::target_id id;
    base::service_id service;
    base::endpoint address;
    base::failure_domain_id failure_domain;
    std::uint32_t slots = 0;
    bool draining = false;
    std::chrono::milliseconds cold_for{0}; // from when it was written
    std::int64_t incarnation = 0;
};

struct target_written {
    target_report report;
};
struct target_removed {
    base::target_id id;
};
struct configuration_written {
    routes::configuration configuration;
};
struct evacuation_begun {
    base::failure_domain_id failure_domain;
};
struct evacuation_ended {
    base::failure_domain_id failure_domain;
};
struct instance_written {
    fleet::instance instance;
};
struct instance_removed {
    base::instance_id id;
};
// A key that is of no concern.
struct unrelated {};
// A key whose value cannot be used.
struct unreadable {
    std::string key;
    std::string problem;
    base::target_id target; // set if the key is a target's
};
using change =
    std::variant<target_written, target_removed, configuration_written,
                 evacuation_begun, evacuation_ended, instance_written,
                 instance_removed, unrelated, unreadable>;

// Turns one change of a key into what it means. Never fails: bytes that
// cannot be read become `unreadable`.
using decoder = std::function<change(const store::key_change&)>;

} // namespace pollenreel::fleet
