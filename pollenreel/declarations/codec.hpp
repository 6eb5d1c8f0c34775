// Reads and writes declarations as JSON. Reading is strict: an unknown key, a
// wrong type, a value out of range, a name declared twice or a reference to
// something undeclared fails with the path of the offending value.
//
//   auto d = declarations::parse_document(text);
//   if (!d) fmt::print(stderr, "{}\n", d.error().text());
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/declarations/document.hpp"

#include <boost/json/value.hpp>

#include <string_view>

namespace pollenreel::declarations {

[[nodiscard]] base::result<document> parse_document(std::string_view text);
[[nodiscard]] base::result<document>
parse_document(const boost::json::value& json);

[[nodiscard]] boost::json::value to_json(const document& d);

} // namespace pollenreel::declarations
