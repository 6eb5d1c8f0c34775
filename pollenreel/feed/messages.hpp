// What instances say to each other to pass the configuration on, as plain
// values.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/feed/patch.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::feed {

// How to make the text of one version from that of an earlier one.
struct delta {
    base::config_version from;
    base::config_version to;
    feed::patch patch;
    std::uint64_t checksum = 0; // of the resulting text
};

// Brings a greater version: as deltas that follow one another, or whole.
struct push {
    base::endpoint reply_to;
    base::config_version version;
    std::vector<delta> deltas;
    std::string whole; // empty when there are deltas
};

// Asks for what came after `have`; zero asks for the whole.
struct pull {
    base::endpoint reply_to;
    base::config_version have;
};

// Which version all live instances of a region are known to apply.
struct region_floor {
    base::region_id region;
    base::config_version version;
    std::uint32_t members = 0;              // counted
    std::uint32_t behind = 0;               // below the author's own version
    std::vector<base::instance_id> missing; // some of those behind
    std::uint64_t stamp = 0; // a greater one replaces a smaller one

    friend bool operator==(const region_floor&, const region_floor&) = default;
};

// Says what the sender applies; repairs what pushes missed, acknowledges, and
// carries some regions' floors.
struct digest {
    base::instance_id sender;
    base::endpoint reply_to;
    base::config_version applied;
    // How long ago `applied` was known to be the newest; empty: never.
    std::optional<std::chrono::milliseconds> confirmed_ago;
    std::vector<region_floor> floors;
};

using message = std::variant<push, pull, digest>;

} // namespace pollenreel::feed
