// Parses one line of the operators' language.
//
//   auto c = language::parse("where catalogue from khomas-a");
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/language/command.hpp"

#include <string_view>

namespace pollenreel::language {

// Fails with error::syntax; the detail names the column and what was expected.
[[nodiscard]] base::result<command> parse(std::string_view line);

} // namespace pollenreel::language
