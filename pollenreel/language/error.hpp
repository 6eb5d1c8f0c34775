// Errors of the operators' language.
#pragma once

#include <system_error>

namespace pollenreel::language {

enum class error { syntax = 1 };

[[nodiscard]] std::error_code make_error_code(error e);

} // namespace pollenreel::language

template <>
struct std::is_error_code_enum<pollenreel::language::error> : std::true_type {};
