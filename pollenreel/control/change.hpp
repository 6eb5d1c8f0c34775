// A change of the configuration that an operator asks for, and its effect on
// a configuration. Pure.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/language/command.hpp"

#include <string>
#include <variant>

namespace pollenreel::control {

// Replaces what is declared.
struct apply_document {
    declarations::document document;
};

using mutation = std::variant<apply_document, language::change>;

struct change {
    base::command_id command; // makes the change idempotent
    std::string author;
    control::mutation mutation;
    // When the operator asked, for history only.
    std::chrono::sys_time<std::chrono::milliseconds> at{};
};

enum class change_error { unknown_name = 1, no_effect, unsafe };
[[nodiscard]] std::error_code make_error_code(change_error e);

// What `c` changes, as declarations::change_record::scope.
[[nodiscard]] std::string scope_of(const change& c,
                                   const declarations::configuration& current);

// The configuration after `c`, one version on, with `c` in its history. Fails
// with unknown_name, with no_effect when `c` would change nothing, or with
// unsafe when there are objections (safety.hpp).
[[nodiscard]] base::result<declarations::configuration>
apply(const change& c, const declarations::configuration& current);

} // namespace pollenreel::control

template <>
struct std::is_error_code_enum<pollenreel::control::change_error>
    : std::true_type {};
