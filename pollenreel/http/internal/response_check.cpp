#include "pollenreel/http/internal/response_check.hpp"

#include "pollenreel/http/error.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace pollenreel::http::internal {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
constexpr unsigned http_1_1 = 11;

base::failure malformed(const char* why) {
    return {make_error_code(error::malformed_message), why};
}

// The codings of all Transfer-Encoding fields, in their order.
std::vector<std::string> transfer_codings(const response_head& head) {
    std::vector<std::string> codings;
    const auto [first, last] =
        head.equal_range(bhttp::field::transfer_encoding);
    for (auto field = first; field != last; ++field) {
        std::vector<std::string> elements;
        const std::string value(field->value());
        boost::split(elements, value, boost::is_any_of(","));
        for (auto& e : elements) {
            boost::trim(e);
            if (!e.empty()) {
                codings.push_back(std::move(e));
            }
        }
    }
    return codings;
}

bool is_chunked_alone(const response_head& head) {
    const auto codings = transfer_codings(head);
    return codings.size() == 1 && boost::iequals(codings.front(), "chunked");
}

bool is_success(unsigned status) {
    constexpr unsigned success_class = 2;
    return status / 100 == success_class;
}

// The parser has checked that it is a number, and the same one everywhere.
bool has_positive_length(const response_head& head) {
    const auto [first, last] = head.equal_range(bhttp::field::content_length);
    return std::any_of(first, last, [](const auto& field) {
        return field.value().find_first_of("123456789") !=
               boost::beast::string_view::npos;
    });
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
    const bool has_coding = head.count(bhttp::field::transfer_encoding) > 0;
    if (has_coding && head.version() < http_1_1) {
        return malformed("a transfer coding in HTTP/1.0");
    }
    if (has_coding && head.count(bhttp::field::content_length) > 0) {
        return malformed("a length beside a transfer coding");
    }
    if (is_interim || status == no_content) {
        if (has_coding || has_positive_length(head)) {
            return malformed("a body that the status does not allow");
        }
        return is_interim ? response_kind::interim : response_kind::final;
    }
    const bool has_body = status != not_modified && method != bhttp::verb::head;
    if (has_coding && has_body && !is_chunked_alone(head)) {
        return malformed("a transfer coding other than chunked");
    }
    return response_kind::final;
}

void chunk_extension_check::operator()(std::uint64_t /*size*/,
                                       boost::beast::string_view extension,
                                       boost::beast::error_code& e) const {
    constexpr unsigned char del = 127;
    const bool has_control =
        std::any_of(extension.begin(), extension.end(), [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return (byte < ' ' && c != '\t') || byte == del;
        });
    if (has_control) {
        e = bhttp::error::bad_chunk_extension;
    }
}

} // namespace pollenreel::http::internal
