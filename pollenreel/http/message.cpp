#include "pollenreel/http/message.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace pollenreel::http {

std::optional<std::string_view> find(const headers& in, std::string_view name) {
    const auto found = std::find_if(in.begin(), in.end(), [&](const header& h) {
        return boost::beast::iequals(
            boost::beast::string_view(h.name.data(), h.name.size()),
            boost::beast::string_view(name.data(), name.size()));
    });
    if (found == in.end()) {
        return std::nullopt;
    }
    return found->value;
}

} // namespace pollenreel::http
