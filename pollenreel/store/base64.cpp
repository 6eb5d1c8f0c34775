#include "pollenreel/store/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace pollenreel::store {

namespace base64 = boost::beast::detail::base64;

std::string to_base64(std::string_view bytes) {
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> from_base64(std::string_view text) {
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const auto [written, read] =
        base64::decode(bytes.data(), text.data(), text.size());
    const auto rest = text.substr(read);
    if (rest.find_first_not_of('=') != std::string_view::npos) {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace pollenreel::store
