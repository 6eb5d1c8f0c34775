#include "pollenreel/settings/values.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace pollenreel::settings {

namespace {

constexpr std::size_t longest_name = 64;

bool store_part(std::vector<base::endpoint>& to, std::string part) {
    boost::trim(part);
    base::endpoint one;
    if (!store_endpoint(one, part)) {
        return false;
    }
    to.push_back(one);
    return true;
}

} // namespace

bool store_number(std::uint64_t& to, const std::string& text,
                  std::uint64_t least, std::uint64_t most) {
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, to);
    return read.ec == std::errc() && read.ptr == end && to >= least &&
           to <= most;
}

bool store_number(std::uint32_t& to, const std::string& text,
                  std::uint32_t least, std::uint32_t most) {
    std::uint64_t wide = 0;
    if (!store_number(wide, text, least, most)) {
        return false;
    }
    to = static_cast<std::uint32_t>(wide);
    return true;
}

bool store_millis(std::chrono::milliseconds& to, const std::string& text,
                  std::chrono::milliseconds least,
                  std::chrono::milliseconds most) {
    std::uint64_t count = 0;
    if (!store_number(count, text, static_cast<std::uint64_t>(least.count()),
                      static_cast<std::uint64_t>(most.count()))) {
        return false;
    }
    to = std::chrono::milliseconds(count);
    return true;
}

bool is_name(const std::string& text) {
    const bool fits = !text.empty() && text.size() <= longest_name;
    return fits && std::all_of(text.begin(), text.end(),
                               boost::is_alnum() || boost::is_any_of("-_."));
}

bool store_endpoint(base::endpoint& to, const std::string& text) {
    auto parsed = base::parse_endpoint(text);
    if (!parsed) {
        return false;
    }
    to = parsed.value();
    return true;
}

bool store_endpoints(std::vector<base::endpoint>& to, const std::string& text) {
    if (text.empty()) {
        return true;
    }
    std::vector<std::string> parts;
    boost::split(parts, text, boost::is_any_of(","));
    return std::all_of(parts.begin(), parts.end(),
                       [&](const auto& part) { return store_part(to, part); });
}

bool store_duration(std::chrono::milliseconds& to, const std::string& text,
                    std::chrono::milliseconds least,
                    std::chrono::milliseconds most) {
    double count = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, count);
    if (read.ec != std::errc()) {
        return false;
    }
    const std::string_view unit(read.ptr,
                                static_cast<std::size_t>(end - read.ptr));
    constexpr double ms_per_s = 1000;
    if (unit != "ms" && unit != "s") {
        return false;
    }
    const double ms = unit == "s" ? count * ms_per_s : count;
    if (!(ms >= static_cast<double>(least.count()) &&
          ms <= static_cast<double>(most.count()))) {
        return false;
    }
    to = std::chrono::milliseconds(std::llround(ms));
    return true;
}

bool store_switch(bool& to, const std::string& text) {
    to = text == "on";
    return to || text == "off";
}

bool store_real(double& to, const std::string& text, double least,
                double most) {
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, to);
    return read.ec == std::errc() && read.ptr == end && to >= least &&
           to <= most;
}

} // namespace pollenreel::settings
