// Rendezvous hashing (Thaler and Ravishankar 1998): every instance ranks the
// same candidates alike for the same key, without talking.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace pollenreel::fleet {

// The candidate with the greatest score comes first for the key.
[[nodiscard]] inline std::uint64_t
rendezvous_score(std::string_view key, std::string_view candidate) {
    return XXH64(key.data(), key.size(),
                 XXH64(candidate.data(), candidate.size(), 0));
}

} // namespace pollenreel::fleet
