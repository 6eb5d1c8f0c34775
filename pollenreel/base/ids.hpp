// Strong types for identifiers. Two kinds of identifier never mix by mistake:
// a `target_id` does not convert to an `instance_id` nor to a string.
//
//   base::target_id t{"catalogue-07"};
//   log.info("chosen", {{"target", t.str()}});
#pragma once

#include <boost/container_hash/hash.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace pollenreel::base {

// An identifier made of text. Ordered and hashable by its text.
template <class Tag>
class text_id {
public:
    text_id() = default;
    explicit text_id(std::string text) : m_text(std::move(text)) {}

    [[nodiscard]] const std::string& str() const { return m_text; }
    [[nodiscard]] bool empty() const { return m_text.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;
    friend std::size_t hash_value(const text_id& id) {
        return boost::hash<std::string>()(id.m_text);
    }

private:
    std::string m_text;
};

// An identifier made of a number. Zero means "none".
template <class Tag>
class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value) : m_value(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }
    [[nodiscard]] constexpr number_id next() const {
        return number_id(m_value + 1);
    }

    friend auto operator<=>(const number_id&, const number_id&) = default;
    friend std::size_t hash_value(const number_id& id) {
        return boost::hash<std::uint64_t>()(id.m_value);
    }

private:
    std::uint64_t m_value = 0;
};

using instance_id = text_id<struct instance_tag>;
using target_id = text_id<struct target_tag>;
using service_id = text_id<struct service_tag>;
using kind_id = text_id<struct kind_tag>;
using region_id = text_id<struct region_tag>;
using failure_domain_id = text_id<struct failure_domain_tag>;
// The command id of the command that began the shift.
using shift_id = text_id<struct shift_tag>;
// Chosen by whoever issues an operator command; makes it idempotent.
using command_id = text_id<struct command_tag>;

using request_id = number_id<struct request_tag>;
using attempt_id = number_id<struct attempt_tag>;
// Grows by one with each accepted change of the configuration.
using config_version = number_id<struct config_version_tag>;

} // namespace pollenreel::base
