#include "pollenreel/declarations/internal/json_reader.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pollenreel::declarations::internal {

namespace {
constexpr std::size_t longest_text = 128;
}

read_failure::read_failure(base::failure f)
    : std::runtime_error(f.text()), m_cause(std::move(f)) {}

json_reader::json_reader(const boost::json::value& value, std::string path)
    : m_value(&value), m_path(std::move(path)) {}

void json_reader::fail(error e, std::string_view what) const {
    throw read_failure(
        {make_error_code(e),
         fmt::format("at {}: {}", m_path.empty() ? "/" : m_path, what)});
}

void json_reader::allow_keys(
    std::initializer_list<std::string_view> allowed) const {
    for (const auto& member : object()) {
        const std::string_view key = member.key();
        const auto* found = std::find(allowed.begin(), allowed.end(), key);
        if (found == allowed.end()) {
            fail(error::unknown_key, fmt::format("'{}'; allowed: {}", key,
                                                 fmt::join(allowed, ", ")));
        }
    }
}

bool json_reader::has(std::string_view key) const {
    return object().contains(key);
}

json_reader json_reader::at(std::string_view key) const {
    const auto* found = object().if_contains(key);
    if (found == nullptr) {
        fail(error::missing_key, fmt::format("'{}'", key));
    }
    return {*found, m_path + "/" + std::string(key)};
}

std::string json_reader::text() const {
    const auto* s = m_value->if_string();
    if (s == nullptr) {
        fail(error::wrong_type, "expected a string");
    }
    if (s->empty() || s->size() > longest_text) {
        fail(error::out_of_range, "expected 1 to 128 characters");
    }
    return {s->begin(), s->end()};
}

bool json_reader::boolean() const {
    const auto* b = m_value->if_bool();
    if (b == nullptr) {
        fail(error::wrong_type, "expected true or false");
    }
    return *b;
}

std::uint64_t json_reader::number(std::uint64_t least,
                                  std::uint64_t most) const {
    boost::system::error_code not_a_number;
    const auto n = m_value->to_number<std::uint64_t>(not_a_number);
    if (not_a_number) {
        fail(error::wrong_type, "expected a whole number");
    }
    if (n < least || n > most) {
        fail(error::out_of_range,
             fmt::format("{} is not within {} to {}", n, least, most));
    }
    return n;
}

const boost::json::array& json_reader::array() const {
    const auto* a = m_value->if_array();
    if (a == nullptr) {
        fail(error::wrong_type, "expected an array");
    }
    return *a;
}

const boost::json::object& json_reader::object() const {
    const auto* o = m_value->if_object();
    if (o == nullptr) {
        fail(error::wrong_type, "expected an object");
    }
    return *o;
}

} // namespace pollenreel::declarations::internal
