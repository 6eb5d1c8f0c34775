// Finds the word that somebody most likely meant.
//
//   language::nearest("drian", {"drain", "shift"});  // "drain"
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace pollenreel::language {

// Least number of single-character insertions, deletions, replacements and
// swaps of neighbours that turn `a` into `b` (restricted Damerau-Levenshtein,
// "optimal string alignment"). Takes time in the product of the lengths.
[[nodiscard]] std::size_t edit_distance(std::string_view a, std::string_view b);

// The first of the `known` words nearest to `word`; empty when none is near
// enough to be a slip of the keyboard (a third of its length, at least one).
[[nodiscard]] std::string_view nearest(std::string_view word,
                                       std::span<const std::string_view> known);

} // namespace pollenreel::language
