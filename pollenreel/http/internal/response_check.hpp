// Judges responses by RFC 9110 and RFC 9112 where Boost.Beast's parser takes
// more than these allow.
#pragma once

#include "pollenreel/base/failure.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace pollenreel::http::internal {

using response_head =
    boost::beast::http::response_header<boost::beast::http::fields>;

// Fails with malformed_message if the status code is invalid.
[[nodiscard]] base::result<void> check_head(const response_head& head);

} // namespace pollenreel::http::internal
