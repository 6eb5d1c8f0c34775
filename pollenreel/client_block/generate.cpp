#include "pollenreel/client_block/generate.hpp"

#include <array>

namespace pollenreel::client_block {

namespace {

// Announced prefixes are mostly /24; their mixture decides the table's size.
constexpr std::array<std::uint8_t, 10> lengths = {22, 23, 24, 24, 24,
                                                  24, 24, 25, 26, 28};
constexpr std::uint32_t first_public = 1U << 24U;
// One block in so many begins another site's run.
constexpr std::uint64_t run_length = 8;

} // namespace

std::vector<block> generate(std::size_t count, site_index sites,
                            base::random& random) {
    std::vector<block> blocks;
    blocks.reserve(count);
    std::uint64_t next = first_public;
    site_index site = 0;
    while (blocks.size() < count) {
        const auto length = lengths.at(random.below(lengths.size()));
        const std::uint64_t size = std::uint64_t{1} << (address_bits - length);
        next = (next + size - 1) / size * size;
        if (random.below(run_length) == 0) {
            site = static_cast<site_index>(random.below(sites));
        }
        blocks.push_back({static_cast<std::uint32_t>(next), length, site});
        next += size;
    }
    return blocks;
}

} // namespace pollenreel::client_block
