#include "pollenreel/http/message.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>

namespace pollenreel::http {

namespace {

constexpr std::array<std::string_view, 10> connection_headers = {
    "Connection",
    "Content-Length",
    "Transfer-Encoding",
    "Keep-Alive",
    // Answered by whoever receives the body.
    "Expect",
    "Upgrade",
    "TE",
    "Trailer",
    "Proxy-Authenticate",
    "Proxy-Authorization",
};

bool belongs_to_connection(std::string_view name) {
    return std::any_of(
        connection_headers.begin(), connection_headers.end(),
        [&](std::string_view n) { return boost::iequals(name, n); });
}

// Names that the Connection headers list.
std::vector<std::string> listed(const headers& in) {
    std::vector<std::string> names;
    for (const auto& h : in) {
        if (boost::iequals(h.name, "Connection")) {
            std::vector<std::string> parts;
            boost::split(parts, h.value, boost::is_any_of(","));
            for (auto& p : parts) {
                boost::trim(p);
                names.push_back(std::move(p));
            }
        }
    }
    return names;
}

} // namespace

void drop_connection_headers(headers& from) {
    const auto names = listed(from);
    std::erase_if(from, [&](const header& h) {
        return belongs_to_connection(h.name) ||
               std::any_of(names.begin(), names.end(), [&](const auto& n) {
                   return boost::iequals(h.name, n);
               });
    });
}

std::optional<std::string_view> find(const headers& in, std::string_view name) {
    const auto found = std::find_if(in.begin(), in.end(), [&](const header& h) {
        return boost::iequals(h.name, name);
    });
    if (found == in.end()) {
        return std::nullopt;
    }
    return found->value;
}

} // namespace pollenreel::http
