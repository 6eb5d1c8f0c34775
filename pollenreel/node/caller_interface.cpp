#include "pollenreel/node/caller_interface.hpp"

#include "pollenreel/node/headers.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace pollenreel::node {

namespace {

constexpr std::string_view service_prefix = "/svc/";

bool is_any_of(std::string_view name,
               std::initializer_list<std::string_view> names) {
    return std::any_of(names.begin(), names.end(), [&](std::string_view n) {
        return boost::iequals(name, n);
    });
}

caller_call read_lookup(const boost::urls::url_view& url,
                        const http::request& r) {
    lookup_call call;
    call.from = lookup::caller_address{r.caller_address};
    for (const auto& p : url.params()) {
        if (p.key == "service") {
            call.service = base::service_id(std::string(p.value));
        } else if (p.key == "from") {
            boost::system::error_code not_an_address;
            const auto ip =
                boost::asio::ip::make_address_v4(p.value, not_an_address);
            if (not_an_address) {
                call.from = base::failure_domain_id(std::string(p.value));
            } else {
                call.from = lookup::caller_address{ip.to_uint()};
            }
        } else {
            return bad_call{400, "unknown parameter '" + p.key + "'"};
        }
    }
    if (call.service.empty()) {
        return bad_call{400, "parameter 'service' is required"};
    }
    return call;
}

caller_call read_service_call(const http::request& r, base::request_id id) {
    const std::string_view rest =
        std::string_view(r.path).substr(service_prefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    service_call call;
    call.arrival.id = id;
    call.arrival.service = base::service_id(std::string(rest.substr(0, end)));
    call.arrival.method = r.method;
    call.path = std::string(rest.substr(end));
    if (!call.path.starts_with('/')) {
        call.path.insert(0, "/");
    }
    if (const auto kind = http::find(r.headers, header_kind)) {
        call.arrival.kind = base::kind_id(std::string(*kind));
    }
    if (const auto text = http::find(r.headers, header_deadline)) {
        std::int64_t count = 0;
        const auto* last = text->data() + text->size();
        const auto read = std::from_chars(text->data(), last, count);
        if (read.ec != std::errc() || read.ptr != last) {
            return bad_call{400, "Pollenreel-Deadline-Ms is not a number"};
        }
        call.arrival.deadline = std::chrono::milliseconds(count);
    }
    return call;
}

unsigned status_of(const request::refusal& r) {
    switch (r.reason) {
    case request::reason::unknown_service:
        return 404;
    case request::reason::unknown_kind:
    case request::reason::bad_deadline:
        return 400;
    case request::reason::deadline_expired:
        return 504;
    case request::reason::connection_lost:
    case request::reason::wrong_answer:
        return 502;
    default:
        return 503;
    }
}

} // namespace

caller_call read_call(const http::request& r, base::request_id id) {
    if (is_any_of(r.method, {"TRACE", "CONNECT"})) {
        return bad_call{405, "the method " + r.method + " is not served"};
    }
    if (std::string_view(r.path).starts_with(service_prefix)) {
        return read_service_call(r, id);
    }
    const auto url = boost::urls::parse_origin_form(r.path);
    if (!url) {
        return bad_call{400, "the path is not well-formed"};
    }
    if (url->encoded_path() == "/lookup") {
        return read_lookup(*url, r);
    }
    if (url->encoded_path() == "/healthz") {
        return health_call{};
    }
    return bad_call{404, "unknown path"};
}

http::request to_target(const http::request& r, std::string path,
                        const std::string& request_id,
                        std::chrono::milliseconds time_left) {
    http::request out;
    out.method = r.method;
    out.path = std::move(path);
    out.headers = r.headers;
    http::drop_connection_headers(out.headers);
    std::erase_if(out.headers, [](const http::header& h) {
        return is_any_of(h.name, {"Host"});
    });
    std::erase_if(out.headers, [](const http::header& h) {
        return is_any_of(h.name, {header_request_id, header_deadline});
    });
    out.headers.push_back({std::string(header_request_id), request_id});
    out.headers.push_back(
        {std::string(header_deadline), std::to_string(time_left.count())});
    out.body = r.body;
    return out;
}

http::response to_caller(http::response from_target) {
    http::drop_connection_headers(from_target.headers);
    std::erase_if(from_target.headers, [](const http::header& h) {
        return is_any_of(h.name, {header_outcome, header_reason});
    });
    return from_target;
}

http::response refusal_answer(const request::refusal& r) {
    const std::string outcome(to_string(r.outcome));
    const std::string reason(to_string(r.reason));
    return {status_of(r),
            {{std::string(header_outcome), outcome},
             {std::string(header_reason), reason},
             {"Content-Type", "text/plain"}},
            outcome + ": " + reason + "\n"};
}

http::response bad_call_answer(const bad_call& b) {
    return {b.status,
            {{std::string(header_outcome), "not-run"},
             {std::string(header_reason), "bad-request"},
             {"Content-Type", "text/plain"}},
            b.why + "\n"};
}

} // namespace pollenreel::node
