// Which site serves which block of clients: a flat sorted table of IPv4
// blocks, eight bytes a block, searched by bisection. Blocks do not overlap.
// Takes millions of blocks; a traffic thread reads it without locks.
//
//   auto t = client_block::table::make(std::move(blocks));
//   auto site = t.value().find(address);
#pragma once

#include "pollenreel/base/failure.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace pollenreel::client_block {

// Position of a site in the list that the configuration declares.
using site_index = std::uint16_t;

constexpr std::uint8_t address_bits = 32;

// The addresses that share the first `prefix_length` bits of `first`, an IPv4
// address in host order whose other bits are zero.
struct block {
    std::uint32_t first = 0;
    std::uint8_t prefix_length = 0;
    site_index site = 0;

    [[nodiscard]] std::uint32_t last() const;
    friend auto operator<=>(const block&, const block&) = default;
};

enum class error {
    bad_block = 1, // longer than 32 bits, or bits set past its length
    overlap,
};
[[nodiscard]] std::error_code make_error_code(error e);

// A change of some blocks. Removing a block that is not there is no error, so
// that a delta may be applied twice.
struct delta {
    std::vector<block> put; // replaces a block of the same addresses
    std::vector<block> removed;
};

class table {
public:
    table() = default;

    // Sorts `blocks`. Fails when two overlap or one is not well-formed.
    [[nodiscard]] static base::result<table> make(std::vector<block> blocks);

    // The table with `d` applied; this one stays as it is. One pass over the
    // blocks. Fails as `make` does.
    [[nodiscard]] base::result<table> apply(delta d) const;

    // The site of the block that covers `address`; empty when none does.
    [[nodiscard]] std::optional<site_index> find(std::uint32_t address) const;

    [[nodiscard]] std::span<const block> blocks() const { return m_blocks; }
    [[nodiscard]] std::size_t memory_bytes() const {
        return m_blocks.capacity() * sizeof(block);
    }

private:
    explicit table(std::vector<block> sorted) : m_blocks(std::move(sorted)) {}

    std::vector<block> m_blocks;
};

} // namespace pollenreel::client_block
