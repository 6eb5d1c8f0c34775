// An instance's part of the connections that a target accepts from all
// instances together.
//
// This serves targets with long queues: the attempts that wait there occupy
// connections, and a target with a long queue accepts fewer. An instance that
// opens one for each further attempt has connections reset, and with them
// requests that may have run.
//
//   const auto share = connection_share({330, 80, occupancy, slots, false});
//   if (in_flight < attempts_allowed(share, is_first)) ...
#pragma once

#include <cstddef>
#include <cstdint>

namespace pollenreel::dispatch {

struct connection_query {
    std::uint32_t limit = 0;    // of the target, for all instances
    std::size_t instances = 1;  // that share it
    double occupancy = 0;       // requests running and waiting at the target
    std::uint32_t slots = 0;    // of the target
    bool failed_lately = false; // a connection was reset or not accepted
};

// Connections, at least 1.
[[nodiscard]] std::uint32_t connection_share(const connection_query& q);

// Attempts of the instance that may be at the target at once. First attempts
// leave a connection to repeats and hedges where there are enough.
[[nodiscard]] std::uint32_t attempts_allowed(std::uint32_t share,
                                             bool is_first);

} // namespace pollenreel::dispatch
