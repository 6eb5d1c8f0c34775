// Reads INI text by a table of keys, for any struct of settings. The table
// gives each key's range, default and meaning; errors name the key, the value
// and what is allowed.
//
//   base::result<my_settings> s = read_table(text, "file.ini", my_rows);
#pragma once

#include "pollenreel/base/failure.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pollenreel::settings {

template <class Settings>
struct basic_key_row {
    std::string_view name; // "section.key"
    std::string_view allowed;
    std::optional<std::string_view> default_value; // none: required
    std::string_view meaning;
    // Stores the value; false when it is not allowed.
    std::function<bool(Settings&, const std::string&)> store;
};

// The values of INI text by "section.key".
using ini_values = std::map<std::string, std::string, std::less<>>;

// Fails with unreadable_file.
[[nodiscard]] base::result<std::string> read_all(const std::string& path);
// Fails with bad_value where the text is no INI, with unknown_key for a key
// outside a section.
[[nodiscard]] base::result<ini_values> read_ini(std::string_view text,
                                                const std::string& source);

namespace internal {
[[nodiscard]] base::failure unknown_key(const std::string& source,
                                        const std::string& name);
[[nodiscard]] base::failure missing_key(const std::string& source,
                                        std::string_view name,
                                        std::string_view allowed);
[[nodiscard]] base::failure bad_value(const std::string& source,
                                      std::string_view name,
                                      const std::string& value,
                                      std::string_view allowed);
[[nodiscard]] std::string
describe_key(std::string_view name, std::string_view allowed,
             std::optional<std::string_view> default_value,
             std::string_view meaning);
} // namespace internal

template <class Settings>
[[nodiscard]] base::result<Settings>
read_table(std::string_view text, const std::string& source,
           std::span<const basic_key_row<Settings>> rows) {
    BOOST_OUTCOME_TRY(auto values, read_ini(text, source));
    Settings read;
    for (const auto& row : rows) {
        const auto found = values.find(row.name);
        if (found == values.end() && !row.default_value) {
            return internal::missing_key(source, row.name, row.allowed);
        }
        const auto value = found == values.end()
                               ? std::string(*row.default_value)
                               : found->second;
        if (!row.store(read, value)) {
            return internal::bad_value(source, row.name, value, row.allowed);
        }
        if (found != values.end()) {
            values.erase(found);
        }
    }
    if (!values.empty()) {
        return internal::unknown_key(source, values.begin()->first);
    }
    return read;
}

// One line a key: name, what is allowed, default, meaning.
template <class Settings>
[[nodiscard]] std::string
describe(std::span<const basic_key_row<Settings>> rows) {
    std::string page;
    for (const auto& row : rows) {
        page += internal::describe_key(row.name, row.allowed, row.default_value,
                                       row.meaning);
    }
    return page;
}

} // namespace pollenreel::settings
