#include "pollenreel/http/internal/response_check.hpp"

#include "pollenreel/http/error.hpp"

namespace pollenreel::http::internal {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;

base::failure malformed(const char* why) {
    return {make_error_code(error::malformed_message), why};
}

bool is_success(unsigned status) {
    constexpr unsigned success_class = 2;
    return status / 100 == success_class;
}

} // namespace

base::result<response_kind> check_head(const response_head& head,
                                       bhttp::verb method) {
    const auto status = head.result_int();
    if (status < min_status || status > max_status) {
        return malformed("the status code is invalid");
    }
    // Neither is asked for, and what follows is no HTTP.
    if (status == switching_protocols ||
        (method == bhttp::verb::connect && is_success(status))) {
        return malformed("the connection would change its protocol");
    }
    const bool is_interim = status < min_final_status;
    return is_interim ? response_kind::interim : response_kind::final;
}

} // namespace pollenreel::http::internal
