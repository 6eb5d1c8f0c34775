// Errors of the declarations layer.
#pragma once

#include <system_error>

namespace pollenreel::declarations {

enum class error {
    not_json = 1,
    wrong_type,
    unknown_key,
    missing_key,
    out_of_range,
    duplicate,
    unknown_reference,
};

[[nodiscard]] std::error_code make_error_code(error e);

} // namespace pollenreel::declarations

template <>
struct std::is_error_code_enum<pollenreel::declarations::error>
    : std::true_type {};
