// Readers of single settings values: each stores what the text says and
// returns false when that is not allowed.
#pragma once

#include "pollenreel/base/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenreel::settings {

// Whole numbers between `least` and `most`.
bool store_number(std::uint64_t& to, const std::string& text,
                  std::uint64_t least, std::uint64_t most);
bool store_number(std::uint32_t& to, const std::string& text,
                  std::uint32_t least, std::uint32_t most);
// "on" or "off".
bool store_switch(bool& to, const std::string& text);
bool store_real(double& to, const std::string& text, double least, double most);

// A number of milliseconds, without a unit.
bool store_millis(std::chrono::milliseconds& to, const std::string& text,
                  std::chrono::milliseconds least,
                  std::chrono::milliseconds most);
// A number and its unit, "ms" or "s": "1500ms", "2.5s".
bool store_duration(std::chrono::milliseconds& to, const std::string& text,
                    std::chrono::milliseconds least,
                    std::chrono::milliseconds most);

// 1 to 64 letters, digits, and "-_.".
[[nodiscard]] bool is_name(const std::string& text);
template <class Id>
bool store_name(Id& to, const std::string& text) {
    to = Id(text);
    return is_name(text);
}

bool store_endpoint(base::endpoint& to, const std::string& text);
// Separated by commas; none if the text is empty.
bool store_endpoints(std::vector<base::endpoint>& to, const std::string& text);

} // namespace pollenreel::settings
