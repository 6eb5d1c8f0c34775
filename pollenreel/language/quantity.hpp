// Reads the numbers of the operators' language, each with its unit.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pollenreel::language {

constexpr std::uint64_t most_megabits_per_second = 10'000'000;
constexpr std::uint64_t most_requests_per_second = 100'000'000;
constexpr std::chrono::hours longest_shift{24};

// Each is empty when `text` is no such quantity, or out of bounds.

// "30%", 1 to 100.
[[nodiscard]] std::optional<std::uint32_t> read_percent(std::string_view text);
// "400Mbit/s" or "4Gbit/s", in Mbit/s, 1 to most_megabits_per_second.
[[nodiscard]] std::optional<std::uint64_t>
read_megabits_per_second(std::string_view text);
// "90s", "10m" or "2h", one second to longest_shift.
[[nodiscard]] std::optional<std::chrono::seconds>
read_duration(std::string_view text);
// "500/s", 1 to most_requests_per_second.
[[nodiscard]] std::optional<std::uint64_t>
read_requests_per_second(std::string_view text);

} // namespace pollenreel::language
