// The table of settings keys: one row a key.
#pragma once

#include "pollenreel/settings/settings.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pollenreel::settings {

struct key_row {
    std::string_view name; // "section.key"
    std::string_view allowed;
    std::optional<std::string_view> default_value; // none: required
    std::string_view meaning;
    // Stores the value; false when it is not allowed.
    std::function<bool(settings&, const std::string&)> store;
};

// All keys, in the order of the settings page.
[[nodiscard]] std::span<const key_row> schema();

} // namespace pollenreel::settings
