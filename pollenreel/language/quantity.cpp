#include "pollenreel/language/quantity.hpp"

#include <charconv>
#include <span>

namespace pollenreel::language {

namespace {

struct unit {
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr std::uint64_t mega_per_giga = 1000;
constexpr std::uint64_t seconds_per_minute = 60;
constexpr std::uint64_t seconds_per_hour = 3600;

constexpr unit percent_units[] = {{"%", 1}};
constexpr unit bandwidth_units[] = {{"Mbit/s", 1}, {"Gbit/s", mega_per_giga}};
constexpr unit duration_units[] = {
    {"s", 1}, {"m", seconds_per_minute}, {"h", seconds_per_hour}};
constexpr unit request_units[] = {{"/s", 1}};

// A whole number and one of `units`, from 1 to `most` after conversion.
std::optional<std::uint64_t>
read(std::string_view text, std::span<const unit> units, std::uint64_t most) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, value);
    if (number.ec != std::errc()) {
        return std::nullopt;
    }
    const std::string_view suffix(number.ptr,
                                  static_cast<std::size_t>(end - number.ptr));
    for (const auto& u : units) {
        if (suffix == u.suffix && value >= 1 && value <= most / u.factor) {
            return value * u.factor;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint32_t> read_percent(std::string_view text) {
    const auto value = read(text, percent_units, 100);
    return value ? std::optional(static_cast<std::uint32_t>(*value))
                 : std::nullopt;
}

std::optional<std::uint64_t> read_megabits_per_second(std::string_view text) {
    return read(text, bandwidth_units, most_megabits_per_second);
}

std::optional<std::chrono::seconds> read_duration(std::string_view text) {
    const std::chrono::seconds most = longest_shift;
    const auto value =
        read(text, duration_units, static_cast<std::uint64_t>(most.count()));
    return value ? std::optional(std::chrono::seconds(*value)) : std::nullopt;
}

std::optional<std::uint64_t> read_requests_per_second(std::string_view text) {
    return read(text, request_units, most_requests_per_second);
}

} // namespace pollenreel::language
