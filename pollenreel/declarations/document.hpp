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
    // Much longer than other work of the service; kept apart from it.
    bool long_running = false;
    // An idempotent request is sent a second time once it takes longer than
    // this percentile of recent ones (long-running work: a multiple of it);
    // 0: never. Lower cuts the tail more and costs targets more.
    std::uint32_t hedge_percentile = 95;
    // Most second attempts, as a share of requests. Higher helps when many
    // targets are slow and adds as much load at the worst moment.
    std::uint32_t hedge_budget_percent = 5;
    // Most attempts after a failed one, as a share of requests. Higher loses
    // fewer requests to scattered failures and lets a failing fleet be asked
    // more.
    std::uint32_t retry_budget_percent = 10;

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
    // Share of the targets that long-running work is kept to while others
    // need theirs. Higher finishes long work sooner; lower leaves short work
    // more room.
    std::uint32_t long_running_percent = 50;
    // Requests that one instance lets wait for a slot. Higher rides out longer
    // bursts; lower refuses sooner, while the caller can still go elsewhere.
    std::uint32_t queue_limit = 200;
    // Attempts that the whole fleet has under way, as a share of the slots.
    // Higher keeps slots busier under uneven load, with more waiting at
    // targets, where priority does not count.
    std::uint32_t in_flight_percent = 200;
    // A target that is new or has returned is given work little by little
    // over this time; 0: at once. Longer spares cold caches and leaves the
    // other targets with more.
    std::chrono::milliseconds slow_start{10000};

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
