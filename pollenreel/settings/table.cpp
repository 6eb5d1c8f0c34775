#include "pollenreel/settings/table.hpp"

#include "pollenreel/settings/error.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace pollenreel::settings {

namespace {

base::failure fail(error e, const std::string& source, std::string_view what) {
    return {make_error_code(e), fmt::format("{}: {}", source, what)};
}

} // namespace

base::result<std::string> read_all(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return base::failure{make_error_code(error::unreadable_file), path};
    }
    return text.str();
}

base::result<ini_values> read_ini(std::string_view text,
                                  const std::string& source) {
    boost::property_tree::ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& e) {
        return fail(error::bad_value, source,
                    fmt::format("line {}: {}", e.line(), e.message()));
    }
    ini_values values;
    for (const auto& [section, keys] : tree) {
        if (keys.empty()) {
            return fail(error::unknown_key, source,
                        fmt::format("'{}' stands outside a section", section));
        }
        for (const auto& [key, value] : keys) {
            values[fmt::format("{}.{}", section, key)] = value.data();
        }
    }
    return values;
}

namespace internal {

base::failure unknown_key(const std::string& source, const std::string& name) {
    return fail(error::unknown_key, source,
                fmt::format("'{}'; --help lists the keys", name));
}

base::failure missing_key(const std::string& source, std::string_view name,
                          std::string_view allowed) {
    return fail(error::missing_key, source,
                fmt::format("'{}' is required: {}", name, allowed));
}

base::failure bad_value(const std::string& source, std::string_view name,
                        const std::string& value, std::string_view allowed) {
    const bool secret = name.ends_with("token") || name.ends_with("secret_key");
    return fail(error::bad_value, source,
                fmt::format("{} = '{}'; allowed: {}", name,
                            secret ? "(hidden)" : value, allowed));
}

std::string describe_key(std::string_view name, std::string_view allowed,
                         std::optional<std::string_view> default_value,
                         std::string_view meaning) {
    return fmt::format("  {:<30} {} [{}]\n      {}\n", name, allowed,
                       default_value ? *default_value : "required", meaning);
}

} // namespace internal

} // namespace pollenreel::settings
