// What instances tell each other about the requests of tenants: each instance
// reports to the hub of its region, hubs exchange the sums of their regions,
// and the hub answers a report with what holds for the tenants in it.
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pollenreel::quota {

// Names a tenant in messages: XXH64 of its name with seed 0.
using tenant_hash = std::uint64_t;
[[nodiscard]] tenant_hash hash_of(std::string_view tenant_name);

// Requests since the start of whoever counts. A lost message does no harm, as
// the next one contains its counts.
struct tenant_usage {
    tenant_hash tenant = 0;
    std::uint64_t asked = 0;    // within the quota or not
    std::uint64_t admitted = 0; // less those whose credit was given back

    friend bool operator==(const tenant_usage&, const tenant_usage&) = default;
};

// From an instance to its hub. Contains only tenants whose requests the
// instance has counted since its start; all of them in the first report to a
// hub, later those with news.
struct usage_report {
    base::instance_id instance;
    std::uint64_t run = 0; // differs between starts of the instance
    std::vector<tenant_usage> usage;
    bool whole = false; // names all tenants that the instance has counted
};

// The hub's answer for one tenant.
struct tenant_news {
    tenant_hash tenant = 0;
    double admit_fraction = 1; // of the requests asked for, 0 to 1
    double fleet_rate = 0;     // requests a second asked of all instances
    // Until credit is expected; 0 if there is some.
    std::chrono::milliseconds retry_after{};

    friend bool operator==(const tenant_news&, const tenant_news&) = default;
};
struct usage_news {
    // Those of the report, and all that are limited.
    std::vector<tenant_news> tenants;
    // The hub has measured for long enough, so that a tenant which it does not
    // name is within its limit. If not, it is as if no news had come.
    bool is_complete = false;
};

// From one hub to another: the sums of its region.
struct region_sums {
    base::region_id region;
    std::uint64_t run = 0; // differs between starts of the hub
    std::vector<tenant_usage> usage;
};

} // namespace pollenreel::quota
