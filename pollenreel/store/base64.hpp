// Standard base64 with padding, as used by etcd's JSON API.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::store {

[[nodiscard]] std::string to_base64(std::string_view bytes);
// Returns nullopt if `text` is not base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace pollenreel::store
