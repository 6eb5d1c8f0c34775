#include "pollenreel/client_block/shard.hpp"

#include "proto/client_block.pb.h"

namespace pollenreel::client_block {

namespace {

constexpr std::uint32_t shard_shift = 24;

void fill(wire::ClientBlocks& to, const std::vector<block>& from) {
    std::uint32_t last = 0;
    for (const auto& b : from) {
        to.add_gaps(b.first - last); // modulo 2^32 where not sorted
        last = b.first;
        to.add_sites(b.site);
    }
    std::string& lengths = *to.mutable_prefix_lengths();
    for (const auto& b : from) {
        lengths.push_back(static_cast<char>(b.prefix_length));
    }
}

std::optional<std::vector<block>> read(const wire::ClientBlocks& from) {
    const auto count = from.gaps_size();
    const auto& lengths = from.prefix_lengths();
    if (from.sites_size() != count ||
        lengths.size() != static_cast<std::size_t>(count)) {
        return std::nullopt;
    }
    std::vector<block> blocks;
    blocks.reserve(lengths.size());
    std::uint32_t first = 0;
    for (int i = 0; i < count; ++i) {
        first += from.gaps(i);
        const auto length =
            static_cast<std::uint8_t>(lengths[static_cast<std::size_t>(i)]);
        if (length > address_bits || from.sites(i) > UINT16_MAX) {
            return std::nullopt;
        }
        blocks.push_back(
            {first, length, static_cast<site_index>(from.sites(i))});
    }
    return blocks;
}

template <class Wire>
bool parse(Wire& into, std::string_view bytes) {
    return bytes.size() <= most_shard_bytes &&
           into.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::vector<shard> cut(const table& t, std::uint64_t version) {
    std::vector<shard> shards;
    for (const auto& b : t.blocks()) {
        const auto id = b.first >> shard_shift;
        if (shards.empty() || shards.back().id != id) {
            shards.push_back({id, version, {}});
        }
        shards.back().blocks.push_back(b);
    }
    return shards;
}

std::string encode(const shard& s) {
    wire::ClientShard w;
    w.set_id(s.id);
    w.set_version(s.version);
    fill(*w.mutable_blocks(), s.blocks);
    return w.SerializeAsString();
}

std::string encode(const shard_delta& d) {
    wire::ClientShardDelta w;
    w.set_id(d.id);
    w.set_from(d.from);
    w.set_to(d.to);
    fill(*w.mutable_put(), d.change.put);
    fill(*w.mutable_removed(), d.change.removed);
    return w.SerializeAsString();
}

std::optional<shard> decode_shard(std::string_view bytes) {
    wire::ClientShard w;
    if (!parse(w, bytes) || w.id() >= shard_count) {
        return std::nullopt;
    }
    auto blocks = read(w.blocks());
    if (!blocks) {
        return std::nullopt;
    }
    return shard{w.id(), w.version(), std::move(*blocks)};
}

std::optional<shard_delta> decode_shard_delta(std::string_view bytes) {
    wire::ClientShardDelta w;
    if (!parse(w, bytes) || w.id() >= shard_count) {
        return std::nullopt;
    }
    auto put = read(w.put());
    auto removed = read(w.removed());
    if (!put || !removed) {
        return std::nullopt;
    }
    return shard_delta{
        w.id(), w.from(), w.to(), {std::move(*put), std::move(*removed)}};
}

} // namespace pollenreel::client_block
