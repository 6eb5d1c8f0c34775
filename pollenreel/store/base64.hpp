// Standard base64 with padding, as key-value services write values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::store {

[[nodiscard]] std::string to_base64(std::string_view bytes);
// Empty: the text is not base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace pollenreel::store
