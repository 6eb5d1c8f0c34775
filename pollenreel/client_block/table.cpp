#include "pollenreel/client_block/table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace pollenreel::client_block {

namespace {

constexpr std::uint32_t all_ones = 0xffffffff;

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "client_block";
    }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<error>(value)) {
        case error::bad_block:
            return "not a block of addresses";
        case error::overlap:
            return "two blocks overlap";
        }
        return "unknown client block error";
    }
};

bool before(const block& a, const block& b) {
    return a.first < b.first;
}

base::failure fail(error e, const block& b) {
    return {make_error_code(e),
            fmt::format("{:#010x}/{}", b.first, b.prefix_length)};
}

base::result<void> check(std::span<const block> sorted) {
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto& b = sorted[i];
        const auto host_bits =
            b.prefix_length >= address_bits ? 0 : all_ones >> b.prefix_length;
        if (b.prefix_length > address_bits || (b.first & host_bits) != 0) {
            return fail(error::bad_block, b);
        }
        if (i > 0 && b.first <= sorted[i - 1].last()) {
            return fail(error::overlap, b);
        }
    }
    return boost::outcome_v2::success();
}

bool same_addresses(const block& a, const block& b) {
    return a.first == b.first && a.prefix_length == b.prefix_length;
}

// Leaves out the blocks of `gone`, both sorted.
std::vector<block> without(std::span<const block> all,
                           std::span<const block> gone) {
    std::vector<block> kept;
    kept.reserve(all.size());
    auto next = gone.begin();
    for (const auto& b : all) {
        while (next != gone.end() && next->first < b.first) {
            ++next;
        }
        if (next == gone.end() || !same_addresses(*next, b)) {
            kept.push_back(b);
        }
    }
    return kept;
}

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

std::uint32_t block::last() const {
    return prefix_length >= address_bits ? first
                                         : first | (all_ones >> prefix_length);
}

base::result<table> table::make(std::vector<block> blocks) {
    std::sort(blocks.begin(), blocks.end(), before);
    BOOST_OUTCOME_TRY(check(blocks));
    return table(std::move(blocks));
}

base::result<table> table::apply(delta d) const {
    std::sort(d.put.begin(), d.put.end(), before);
    auto gone = d.removed;
    gone.insert(gone.end(), d.put.begin(), d.put.end());
    std::sort(gone.begin(), gone.end(), before);
    const auto kept = without(m_blocks, gone);
    std::vector<block> merged;
    merged.reserve(kept.size() + d.put.size());
    std::merge(kept.begin(), kept.end(), d.put.begin(), d.put.end(),
               std::back_inserter(merged), before);
    BOOST_OUTCOME_TRY(check(merged));
    return table(std::move(merged));
}

std::optional<site_index> table::find(std::uint32_t address) const {
    const auto after = std::upper_bound(
        m_blocks.begin(), m_blocks.end(), address,
        [](std::uint32_t a, const block& b) { return a < b.first; });
    if (after == m_blocks.begin() || std::prev(after)->last() < address) {
        return std::nullopt;
    }
    return std::prev(after)->site;
}

} // namespace pollenreel::client_block
