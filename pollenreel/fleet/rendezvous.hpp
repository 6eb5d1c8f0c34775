// Rendezvous hashing (Thaler and Ravishankar, 1998): all instances rank the
// same candidates identically for a key, without coordination.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace pollenreel::fleet {

// The candidate with the highest score ranks first for the key.
[[nodiscard]] inline std::uint64_t
rendezvous_score(std::string_view key, std::string_view candidate) {
    return XXH64(key.data(), key.size(),
                 XXH64(candidate.data(), candidate.size(), 0));
}

} // namespace pollenreel::fleet
