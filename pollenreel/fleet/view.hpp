// What one instance believes about the fleet: targets, other instances,
// routes and evacuated failure domains. The control thread compiles it;
// traffic threads hold it by shared pointer.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/routes/route_table.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pollenreel::fleet {

struct target {
    base::target_id id;
    base::service_id service;
    base::endpoint address;
    base::failure_domain_id failure_domain;
    base::region_id region;
    std::uint32_t slots = 0;
    bool draining = false;
    // Starts of the target's process differ in it.
    std::int64_t incarnation = 0;
    // The target bears only its service's cold rate until then.
    base::time_point cold_until{};
};

// An entry instance as it announces itself.
struct instance {
    base::instance_id id;
    base::endpoint endpoint; // its callers' listener
    base::failure_domain_id failure_domain;
    base::region_id region;
    // Where instances of its region ask what the store told it.
    std::optional<base::endpoint> relay_endpoint;

    friend bool operator==(const instance&, const instance&) = default;
};

struct view {
    routes::route_table_ptr routes;  // null: no configuration is known
    std::vector<target> targets;     // usable ones, in the order of their ids
    std::vector<instance> instances; // live ones, in the order of their ids
    // Of which nothing is to be sent to their targets.
    std::vector<base::failure_domain_id> evacuated_domains;
    // When the platform's store last answered.
    base::time_point confirmed_at{};
};

using view_ptr = std::shared_ptr<const view>;

// The fleet's fixed geography, from the settings.
using region_map = std::map<base::failure_domain_id, base::region_id>;

} // namespace pollenreel::fleet
