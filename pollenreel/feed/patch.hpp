// The difference of two texts as pieces to copy and pieces to add, so that a
// small change of a large configuration is a small message. Block matching as
// in rsync, with block borders set by content (the ends of JSON objects and
// arrays), so that an insertion does not move the borders behind it.
//
//   auto p = feed::make_patch(old_text, new_text);
//   assert(feed::apply_patch(old_text, p) == new_text);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::feed {

// Copy `length` bytes of the old text from `offset`, then add `literal`.
struct piece {
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string literal;

    friend bool operator==(const piece&, const piece&) = default;
};
using patch = std::vector<piece>;

[[nodiscard]] patch make_patch(std::string_view old_text,
                               std::string_view new_text);

// Empty when a piece lies outside the old text, or when the result would be
// larger than `most_bytes`.
[[nodiscard]] std::optional<std::string>
apply_patch(std::string_view old_text, const patch& p, std::size_t most_bytes);

// XXH3 of a text.
[[nodiscard]] std::uint64_t checksum(std::string_view text);

// About how many bytes `p` takes in a message.
[[nodiscard]] std::size_t size_of(const patch& p);

} // namespace pollenreel::feed
