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
struct claimant_id {
    base::instance_id instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const claimant_id&, const claimant_id&) = default;
};

struct asked {
    resource what;
    parts held; // what the claimant may be using now
    parts want;

    friend bool operator==(const asked&, const asked&) = default;
};

// Renews, raises, lowers or gives back shares of one owner's resources.
struct ask {
    claimant_id claimant;
    base::endpoint reply_to;
    base::region_id owner;
    std::uint64_t sequence = 0; // grows with each ask of the claimant
    // Of the owner's latest answer: under it the claimant holds its shares.
    std::uint64_t epoch = 0;
    std::vector<asked> items;

    friend bool operator==(const ask&, const ask&) = default;
};

struct granted {
    resource what;
    parts share;

    friend bool operator==(const granted&, const granted&) = default;
};

// Answers the ask with `sequence`; void if the claimant has asked again.
struct grant {
    claimant_id claimant;
    base::region_id owner;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<granted> items;
    // How far each shift from the owner's region has come.
    std::map<base::shift_id, parts> progress;

    friend bool operator==(const grant&, const grant&) = default;
};

} // namespace pollenreel::share
