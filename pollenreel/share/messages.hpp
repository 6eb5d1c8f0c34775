// What instances and a region's share-holder say to each other.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/share/resource.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenreel::share {

// A running instance. A restarted one is another claimant: its predecessor
// may be paused, not dead.
struct incarnation_id {
    base::instance_id instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const incarnation_id&,
                            const incarnation_id&) = default;
};

struct request_item {
    resource_id resource;
    ppm held; // what the claimant may be using now
    ppm demand;

    friend bool operator==(const request_item&, const request_item&) = default;
};

// Renews, raises, lowers or gives back shares of one owner's resources.
struct request {
    incarnation_id claimant;
    base::endpoint reply_to;
    base::region_id owner;
    std::uint64_t sequence = 0; // grows with each ask of the claimant
    // Of the owner's latest answer: under it the claimant holds its shares.
    std::uint64_t epoch = 0;
    std::vector<request_item> items;

    friend bool operator==(const request&, const request&) = default;
};

struct grant_item {
    resource_id resource;
    ppm share;

    friend bool operator==(const grant_item&, const grant_item&) = default;
};

// Answers the ask with `sequence`; void if the claimant has asked again.
struct grant {
    incarnation_id claimant;
    base::region_id owner;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<grant_item> items;
    // How far each shift from the owner's region has come.
    std::map<base::shift_id, ppm> progress;

    friend bool operator==(const grant&, const grant&) = default;
};

} // namespace pollenreel::share
