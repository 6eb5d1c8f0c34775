// Names of the HTTP headers that callers, targets and the system agree on.
// docs/INTERFACES.md describes each.
#pragma once

#include <string_view>

namespace pollenreel::node {

constexpr std::string_view header_outcome = "Pollenreel-Outcome";
constexpr std::string_view header_reason = "Pollenreel-Reason";
constexpr std::string_view header_kind = "Pollenreel-Kind";
constexpr std::string_view header_deadline = "Pollenreel-Deadline-Ms";
constexpr std::string_view header_request_id = "Pollenreel-Request-Id";
constexpr std::string_view header_shed = "Pollenreel-Shed";
constexpr std::string_view header_instance = "Pollenreel-Instance";
constexpr std::string_view header_command_id = "Pollenreel-Command-Id";
constexpr std::string_view header_author = "Pollenreel-Author";

} // namespace pollenreel::node
