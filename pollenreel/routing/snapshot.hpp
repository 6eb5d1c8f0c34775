// Immutable routing state for the traffic threads, compiled by the control
// thread from the configuration and the membership. Traffic threads hold it by
// shared pointer and switch to a newer one between events.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenreel::routing {

// An entry instance as returned by look-ups.
struct instance {
    base::instance_id id;
    base::failure_domain_id failure_domain;
    base::endpoint address; // of its listener for callers

    friend bool operator==(const instance&, const instance&) = default;
};

struct target {
    base::target_id id;
    base::region_id region;
    base::failure_domain_id failure_domain;
    base::endpoint address;
    std::uint32_t slots = 0;
    bool accepts_new_work = true;
};

struct service {
    base::service_id id;
    std::uint32_t max_connections_per_target = 0;
    std::vector<declarations::kind> kinds;
    std::vector<target> targets;
    // As declared; see declarations::service.
    std::uint32_t long_running_percent = 50;
    std::uint32_t queue_limit = 200;
    std::uint32_t in_flight_percent = 200;
    std::chrono::milliseconds slow_start{10000};
};

// A range of client addresses, `first` to `last` inclusive, as IPv4 in host
// byte order.
struct client_range {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    base::failure_domain_id failure_domain;
};

struct snapshot {
    base::config_version version;
    base::instance_id self;
    base::failure_domain_id failure_domain; // of this instance
    base::region_id region;                 // of this instance
    std::vector<instance> instances;        // that look-ups may return
    boost::unordered_flat_map<base::service_id, service> services;
    boost::unordered_flat_map<base::failure_domain_id, base::region_id>
        region_of;
    std::vector<client_range> client_ranges; // sorted by `first`
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

// Compiles a snapshot for the instance `self`. Has no side effects. Client
// blocks that are not valid IPv4 networks are left out.
[[nodiscard]] snapshot_ptr
compile(const declarations::configuration& configuration, const instance& self,
        std::vector<instance> usable_instances);

} // namespace pollenreel::routing
