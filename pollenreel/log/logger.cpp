#include "pollenreel/log/logger.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <cstdio>

namespace pollenreel::log {

namespace {

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

std::string timestamp(base::wall_time now) {
    using namespace std::chrono;
    const auto whole = time_point_cast<seconds>(now);
    const auto millis = duration_cast<milliseconds>(now - whole).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(system_clock::to_time_t(whole)), millis);
}

// JSON, with numbers as people write them.
std::string text_of(const boost::json::value& v) {
    return v.is_double() ? fmt::format("{}", v.get_double())
                         : boost::json::serialize(v);
}

} // namespace

base::result<level> parse_level(std::string_view text) {
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (text == level_names.at(i)) {
            return static_cast<level>(i);
        }
    }
    return base::failure{std::make_error_code(std::errc::invalid_argument),
                         "allowed are debug, info, warning, error"};
}

logger::logger(const base::clock& clock, std::string component, level lowest,
               line_writer* to)
    : m_clock(&clock), m_component(std::move(component)), m_lowest(lowest),
      m_to(to) {}

logger logger::named(std::string component) const {
    return {*m_clock, std::move(component), m_lowest, m_to};
}

void logger::debug(std::string_view event, fields f) const {
    write(level::debug, event, f);
}

void logger::info(std::string_view event, fields f) const {
    write(level::info, event, f);
}

void logger::warning(std::string_view event, fields f) const {
    write(level::warning, event, f);
}

void logger::error(std::string_view event, fields f) const {
    write(level::error, event, f);
}

void logger::write(level l, std::string_view event, fields f) const {
    if (l < m_lowest) {
        return;
    }
    auto text =
        fmt::format(R"({{"time":"{}","level":"{}","component":{},"event":{})",
                    timestamp(m_clock->wall_now()),
                    level_names.at(static_cast<std::size_t>(l)),
                    boost::json::serialize(boost::json::value(m_component)),
                    boost::json::serialize(boost::json::value(event)));
    for (const auto& [name, value] : f) {
        text += fmt::format(R"(,"{}":{})", name, text_of(value));
    }
    text += "}\n";
    if (m_to != nullptr) {
        return m_to->write(text);
    }
    fmt::print(stderr, "{}", text);
}

} // namespace pollenreel::log
