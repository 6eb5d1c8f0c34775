#include "pollenreel/http/internal/response_check.hpp"

#include "pollenreel/http/error.hpp"

namespace pollenreel::http::internal {

namespace {

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

base::failure malformed(const char* why) {
    return {make_error_code(error::malformed_message), why};
}

} // namespace

base::result<void> check_head(const response_head& head) {
    const auto status = head.result_int();
    if (status < min_status || status > max_status) {
        return malformed("the status code is invalid");
    }
    return boost::outcome_v2::success();
}

} // namespace pollenreel::http::internal
