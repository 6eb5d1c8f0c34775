// Errors of the HTTP layer.
#pragma once

#include <system_error>

namespace pollenreel::http {

enum class error {
    cannot_listen = 1,
    connect_failed,
    timed_out,
    connection_lost,
    incomplete_message, // cut short, or of a length that cannot be checked
    malformed_message,
    too_large,
};

[[nodiscard]] std::error_code make_error_code(error e);

} // namespace pollenreel::http

template <>
struct std::is_error_code_enum<pollenreel::http::error> : std::true_type {};
