// An immutable snapshot of the fleet: targets, instances, routes and evacuated
// failure domains. The control thread builds it; traffic threads share it.
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
    // Differs between starts of the target's process.
    std::int64_t incarnation = 0;
    // Until then the target is limited to its service's cold rate.
    base::time_point cold_until{};
};

// An announced entry instance.
struct instance {
    base::instance_id id;
    base::endpoint endpoint; // its listener for callers
    base::failure_domain_id failure_domain;
    base::region_id region;
    // Its listener for polls of other instances of the region.
    std::optional<base::endpoint> relay_endpoint;
    // Of its network link, in Mbit/s; 0 if unknown.
    double link_mbps = 0;

    friend bool operator==(const instance&, const instance&) = default;
};

struct view {
    routes::route_table_ptr routes;  // null if no configuration is known
    std::vector<target> targets;     // usable ones, ordered by id
    std::vector<instance> instances; // live ones, ordered by id
    // False while instances may be missing that the store had no time to name
    // again: what is shared by all must then be left to the others.
    bool instances_known = true;
    // Targets in these domains get no requests.
    std::vector<base::failure_domain_id> evacuated_domains;
    // Time of the last reply of the platform's store.
    base::time_point confirmed_at{};
    // The configuration was the newest one then.
    base::boot_time configuration_confirmed_at{};
    // A newer configuration exists that could not be read, or not yet.
    bool is_configuration_outdated = false;
};

using view_ptr = std::shared_ptr<const view>;

// The region of each failure domain, from the settings.
using region_map = std::map<base::failure_domain_id, base::region_id>;

} // namespace pollenreel::fleet
