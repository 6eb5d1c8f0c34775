// Decoded changes of the platform's store: one value for each written or
// removed key.
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

// A target's report about itself.
struct target_report {
    base::target_id id;
    base::service_id service;
    base::endpoint address;
    base::failure_domain_id failure_domain;
    std::uint32_t slots = 0;
    bool draining = false;
    std::chrono::milliseconds cold_for{0}; // counted from the write
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
    std::size_t encoded_bytes = 0; // of the value in the store
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
// A key outside the followed kinds.
struct unrelated {};
// A key whose value is malformed.
struct unreadable {
    std::string key;
    std::string problem;
    base::target_id target; // set if the key belongs to a target
    bool is_configuration = false;
};
using change =
    std::variant<target_written, target_removed, configuration_written,
                 evacuation_begun, evacuation_ended, instance_written,
                 instance_removed, unrelated, unreadable>;

// Decodes one change of a key. Never fails: malformed values become
// `unreadable`.
using decoder = std::function<change(const store::key_change&)>;

} // namespace pollenreel::fleet
