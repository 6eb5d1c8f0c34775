// Messages between instances and a region's share holder.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/share/resource.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenreel::share {

// One run of an instance. A restarted instance counts as a different claimant,
// because its previous process may be paused rather than dead.
struct incarnation_id {
    base::instance_id instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const incarnation_id&,
                            const incarnation_id&) = default;
};

// A claimant's use of and demand for one resource.
struct request_item {
    resource_id resource;
    ppm held; // the most that the claimant may be using
    ppm demand;

    friend bool operator==(const request_item&, const request_item&) = default;
};

// Renews, raises, lowers or returns shares of one owner's resources.
struct request {
    incarnation_id claimant;
    base::endpoint reply_to;
    base::region_id owner;
    std::uint64_t sequence = 0; // increases with each request of the claimant
    // Epoch of the latest grant, under which the claimant holds its shares.
    std::uint64_t epoch = 0;
    std::vector<request_item> items;

    friend bool operator==(const request&, const request&) = default;
};

struct grant_item {
    resource_id resource;
    ppm share;

    friend bool operator==(const grant_item&, const grant_item&) = default;
};

// Answers the request with the same `sequence`. Ignored if the claimant has
// sent a newer request.
struct grant {
    incarnation_id claimant;
    base::region_id owner;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<grant_item> items;
    // Part of the traffic moved by each shift from the owner's region.
    std::map<base::shift_id, ppm> progress;

    friend bool operator==(const grant&, const grant&) = default;
};

} // namespace pollenreel::share
