// Turns an instance's JSON answers into text for a person. Pure.
//
//   fmt::print("{}", cli::render(command, answer));
#pragma once

#include "pollenreel/language/command.hpp"

#include <boost/json/value.hpp>

#include <string>

namespace pollenreel::cli {

// The answer to a query or command, in lines. An answer of another shape, as
// from another release, is shown as JSON.
[[nodiscard]] std::string render(const language::command& asked,
                                 const boost::json::value& answer);

// What became of a change: "accepted, version 41: drain catalogue-01".
[[nodiscard]] std::string render_outcome(const boost::json::value& answer,
                                         const std::string& command_id);

// Where the version that `status` tells of is in force, and where not.
[[nodiscard]] std::string render_in_force(const boost::json::value& status);

[[nodiscard]] std::string render_plan(const boost::json::value& answer);

// The line, a caret under `column` (from 1), and the problem.
[[nodiscard]] std::string render_caret(const std::string& line,
                                       std::size_t column,
                                       const std::string& problem);

} // namespace pollenreel::cli
