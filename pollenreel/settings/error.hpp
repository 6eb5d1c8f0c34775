// Errors of the settings layer.
#pragma once

#include <system_error>

namespace pollenreel::settings {

enum class error {
    unreadable_file = 1,
    unknown_key,
    missing_key,
    bad_value,
    clash,
};

[[nodiscard]] std::error_code make_error_code(error e);

} // namespace pollenreel::settings

template <>
struct std::is_error_code_enum<pollenreel::settings::error> : std::true_type {};
