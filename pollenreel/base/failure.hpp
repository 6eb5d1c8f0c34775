// What a function that can fail returns. Each layer has its own enum with an
// std::error_code category; `failure` adds the detail a person needs.
//
//   base::result<document> parse(std::string_view text);
//   if (auto r = parse(text); !r) log.error(r.error().text());
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <system_error>

namespace pollenreel::base {

// An error code and what it applies to, in words for a person.
struct failure {
    std::error_code code;
    std::string detail;

    // "message: detail".
    [[nodiscard]] std::string text() const;
};

// A value or a failure. Reading the wrong side ends the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, failure,
                                    boost::outcome_v2::policy::terminate>;

} // namespace pollenreel::base
