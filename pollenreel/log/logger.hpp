// Structured logs: each call writes one JSON object on one line, to standard
// error or to a line_writer, with time, level, component, event and typed
// fields.
//
//   log::logger log{clock, "daemon", log::level::info};
//   log.info("started", {{"instance", "khomas-a-1"}, {"threads", 2}});
//
// Never pass a secret as a field.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/failure.hpp"
#include "pollenreel/log/line_writer.hpp"

#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace pollenreel::log {

enum class level { debug, info, warning, error };

// Parses "debug", "info", "warning" or "error".
[[nodiscard]] base::result<level> parse_level(std::string_view text);

// One named value of a log line.
struct field {
    template <class Value>
    field(std::string_view field_name, const Value& field_value)
        : name(field_name), value(boost::json::value_from(field_value)) {}

    std::string_view name;
    boost::json::value value;
};
using fields = std::initializer_list<field>;

// Writes log lines of one component. Safe to use from any thread.
class logger {
public:
    // `clock` and `to` must outlive the logger. Without `to`, lines go to
    // standard error.
    logger(const base::clock& clock, std::string component, level lowest,
           line_writer* to = nullptr);

    // A logger of another component with the same clock and level.
    [[nodiscard]] logger named(std::string component) const;

    void debug(std::string_view event, fields f = {}) const;
    void info(std::string_view event, fields f = {}) const;
    void warning(std::string_view event, fields f = {}) const;
    void error(std::string_view event, fields f = {}) const;

private:
    void write(level l, std::string_view event, fields f) const;

    const base::clock* m_clock;
    std::string m_component;
    level m_lowest;
    line_writer* m_to;
};

} // namespace pollenreel::log
