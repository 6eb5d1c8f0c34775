// Compresses texts with Zstandard, optionally against an earlier text that the
// receiver has: a small change of a large text then takes a few bytes.
//
//   const auto bytes = compression::compress(text, old_text);
//   assert(compression::decompress(bytes, old_text, text.size()) == text);
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::compression {

// `base` may be empty.
[[nodiscard]] std::string compress(std::string_view text,
                                   std::string_view base);

// Returns nullopt if the bytes are malformed, were compressed against another
// base, or hold more than `max_bytes` of text.
[[nodiscard]] std::optional<std::string> decompress(std::string_view bytes,
                                                    std::string_view base,
                                                    std::size_t max_bytes);

} // namespace pollenreel::compression
