// The table of settings keys: one row a key.
#pragma once

#include "pollenreel/settings/settings.hpp"
#include "pollenreel/settings/table.hpp"

#include <span>

namespace pollenreel::settings {

using key_row = basic_key_row<settings>;

// All keys, in the order of the settings page.
[[nodiscard]] std::span<const key_row> schema();

} // namespace pollenreel::settings
