// What operators declare in version control: regions, failure domains, links,
// services with their kinds of work and targets, and which failure domain is
// nearest to which block of clients.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenreel::declarations {

struct region {
    base::region_id id;
    std::vector<base::failure_domain_id> failure_domains;

    friend bool operator==(const region&, const region&) = default;
};

// A link between two regions; `capacity` holds each way.
struct link {
    base::region_id first;
    base::region_id second;
    std::uint64_t megabits_per_second = 0;

    friend bool operator==(const link&, const link&) = default;
};

struct client_block {
    std::string block; // IPv4 in CIDR form
    base::failure_domain_id failure_domain;

    friend bool operator==(const client_block&, const client_block&) = default;
};

// How good a kind of work is meant to be. A request is good when a target
// answers it, without a server error, within `latency`.
struct objective {
    // Good requests among a million.
    std::uint32_t good_per_million = 999'000;
    // Zero: the kind's deadline.
    std::chrono::milliseconds latency{0};

    friend bool operator==(const objective&, const objective&) = default;
};

// A kind of work of a service: which requests it covers and how they are
// treated.
struct kind {
    base::kind_id id;
    std::vector<std::string> methods; // requests without a named kind
    bool idempotent = false;
    std::chrono::milliseconds deadline{};
    std::uint32_t priority = 0; // 0 is shed last
    declarations::objective objective = {};

    friend bool operator==(const kind&, const kind&) = default;
};

struct target {
    base::target_id id;
    base::failure_domain_id failure_domain;
    base::endpoint address;
    std::uint32_t slots = 0;

    friend bool operator==(const target&, const target&) = default;
};

// Slots that the traffic of a region is planned to keep busy at its peak.
struct planned_load {
    base::region_id region;
    std::uint32_t busy_slots = 0;

    friend bool operator==(const planned_load&, const planned_load&) = default;
};

struct service {
    base::service_id id;
    std::uint32_t max_connections_per_target = 0; // over the whole fleet
    std::vector<kind> kinds;
    std::vector<target> targets;
    std::vector<declarations::planned_load> planned_load = {};

    friend bool operator==(const service&, const service&) = default;
};

struct document {
    std::uint32_t fleet_instances = 0; // most that ever run at once
    std::vector<region> regions;
    std::vector<link> links;
    std::vector<client_block> client_blocks;
    std::vector<service> services;

    friend bool operator==(const document&, const document&) = default;
};

} // namespace pollenreel::declarations
