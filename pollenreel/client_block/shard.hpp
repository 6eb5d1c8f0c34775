// Cuts the blocks into values of the platform's store, and changes into deltas
// of a shard. A shard holds the blocks of one range of addresses; numbers are
// written as differences, three to five bytes a block.
//
//   for (const auto& s : client_block::cut(table)) put(key(s.id), encode(s));
#pragma once

#include "pollenreel/client_block/table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::client_block {

// A shard is the blocks that begin with these first eight bits.
constexpr std::size_t shard_count = 256;
// Largest encoded shard that the store takes.
constexpr std::size_t most_shard_bytes = 1'000'000;

struct shard {
    std::uint32_t id = 0;
    std::uint64_t version = 0;
    std::vector<block> blocks; // sorted

    friend bool operator==(const shard&, const shard&) = default;
};

// Brings a shard from version `from` to `to`.
struct shard_delta {
    std::uint32_t id = 0;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    delta change;
};

// One shard a range, the empty ones left out.
[[nodiscard]] std::vector<shard> cut(const table& t, std::uint64_t version);

[[nodiscard]] std::string encode(const shard& s);
[[nodiscard]] std::string encode(const shard_delta& d);
// Empty when `bytes` is too long or no shard.
[[nodiscard]] std::optional<shard> decode_shard(std::string_view bytes);
[[nodiscard]] std::optional<shard_delta>
decode_shard_delta(std::string_view bytes);

} // namespace pollenreel::client_block
