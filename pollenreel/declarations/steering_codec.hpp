// JSON form of operators' standing commands.
#pragma once

#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/declarations/internal/json_reader.hpp"

#include <boost/json/value.hpp>

namespace pollenreel::declarations {

[[nodiscard]] boost::json::value to_json(const steering& s);

// Throws internal::read_failure.
[[nodiscard]] steering read_steering(const internal::json_reader& r);

} // namespace pollenreel::declarations
