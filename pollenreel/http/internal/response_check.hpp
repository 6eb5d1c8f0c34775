// Judges responses by RFC 9110 and RFC 9112 where Boost.Beast's parser takes
// more than these allow.
#pragma once

#include "pollenreel/base/failure.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstdint>

namespace pollenreel::http::internal {

enum class response_kind {
    interim, // 1xx: another response follows
    final,
};

// Before a final response; more of them are malformed.
constexpr int max_interim_responses = 32;

using response_head =
    boost::beast::http::response_header<boost::beast::http::fields>;

// `method`: of the request. Fails with malformed_message if the status code is
// invalid, if the connection would change its protocol, or if the body is of a
// length or in a transfer coding that it cannot have.
[[nodiscard]] base::result<response_kind>
check_head(const response_head& head, boost::beast::http::verb method);

// For the parser's on_chunk_header.
struct chunk_extension_check {
    void operator()(std::uint64_t size, boost::beast::string_view extension,
                    boost::beast::error_code& e) const;
};

} // namespace pollenreel::http::internal
