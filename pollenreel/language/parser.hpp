// Parses one line of the operators' language; docs/GRAMMAR.md has its grammar.
//
//   auto line = language::parse_line("where catalogue from khomas-a");
//   if (!line) fmt::print("{}\n", line.error().text());
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/language/command.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace pollenreel::language {

// Longest line that is read, in bytes.
constexpr std::size_t longest_line = 1024;
// Longest name, in bytes.
constexpr std::size_t longest_name = 128;

// What is wrong with a line, and where.
struct syntax_problem {
    std::size_t column = 1; // of the first byte that does not fit, from 1
    std::string expected;
    std::string found;      // empty: the line ended
    std::string suggestion; // nearest word that would fit; empty: none

    // "column 1: expected ..., found 'were'; did you mean 'where'?"
    [[nodiscard]] std::string text() const;
};

template <class T>
using parsed =
    boost::outcome_v2::basic_result<T, syntax_problem,
                                    boost::outcome_v2::policy::terminate>;

[[nodiscard]] parsed<command> parse_line(std::string_view line);

// As parse_line; fails with error::syntax and the problem's text.
[[nodiscard]] base::result<command> parse(std::string_view line);

} // namespace pollenreel::language
