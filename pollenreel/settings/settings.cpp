#include "pollenreel/settings/settings.hpp"

#include "pollenreel/settings/error.hpp"
#include "pollenreel/settings/schema.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace pollenreel::settings {

namespace {

using boost::property_tree::ptree;

base::failure fail(error e, const std::string& source, std::string_view what) {
    return {make_error_code(e), fmt::format("{}: {}", source, what)};
}

base::result<void> refuse_unknown_keys(const ptree& tree,
                                       const std::string& source) {
    for (const auto& [section, keys] : tree) {
        if (keys.empty()) {
            return fail(error::unknown_key, source,
                        fmt::format("'{}' stands outside a section", section));
        }
        for (const auto& [key, ignored] : keys) {
            const auto name = fmt::format("{}.{}", section, key);
            const auto known =
                std::any_of(schema().begin(), schema().end(),
                            [&](const key_row& r) { return r.name == name; });
            if (!known) {
                return fail(error::unknown_key, source,
                            fmt::format("'{}'; --help lists the keys", name));
            }
        }
    }
    return boost::outcome_v2::success();
}

base::result<void> store_row(settings& into, const key_row& row,
                             const ptree& tree, const std::string& source) {
    const auto found = tree.get_optional<std::string>(std::string(row.name));
    if (!found && !row.default_value) {
        return fail(error::missing_key, source,
                    fmt::format("'{}' is required: {}", row.name, row.allowed));
    }
    const auto value = found ? *found : std::string(*row.default_value);
    if (!row.store(into, value)) {
        const bool secret =
            row.name.ends_with("token") || row.name.ends_with("secret_key");
        return fail(error::bad_value, source,
                    fmt::format("{} = '{}'; allowed: {}", row.name,
                                secret ? "(hidden)" : value, row.allowed));
    }
    return boost::outcome_v2::success();
}

base::result<void> refuse_clashes(const settings& s,
                                  const std::string& source) {
    if (s.traffic.listen == s.operators.listen ||
        s.traffic.listen == s.peers.listen ||
        s.operators.listen == s.peers.listen) {
        return fail(error::clash, source,
                    "traffic.listen, operators.listen and peers.listen must "
                    "differ");
    }
    const bool any = !s.peers.curve_public_key.empty() ||
                     !s.peers.curve_secret_key.empty() ||
                     !s.peers.curve_fleet_public_key.empty();
    const bool all = !s.peers.curve_public_key.empty() &&
                     !s.peers.curve_secret_key.empty() &&
                     !s.peers.curve_fleet_public_key.empty();
    if (any && !all) {
        return fail(error::clash, source,
                    "the three peers.curve_* keys go together");
    }
    if (s.peers.curve_public_key != s.peers.curve_fleet_public_key) {
        return fail(error::clash, source,
                    "peers.curve_public_key must be the fleet's: all "
                    "instances hold the same pair");
    }
    return boost::outcome_v2::success();
}

} // namespace

base::result<settings> read_text(std::string_view text,
                                 const std::string& source) {
    ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& e) {
        return fail(error::bad_value, source,
                    fmt::format("line {}: {}", e.line(), e.message()));
    }
    BOOST_OUTCOME_TRY(refuse_unknown_keys(tree, source));
    settings read;
    for (const auto& row : schema()) {
        BOOST_OUTCOME_TRY(store_row(read, row, tree, source));
    }
    BOOST_OUTCOME_TRY(refuse_clashes(read, source));
    return read;
}

base::result<settings> read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return base::failure{make_error_code(error::unreadable_file), path};
    }
    return read_text(text.str(), path);
}

std::string describe_keys() {
    std::string page;
    for (const auto& row : schema()) {
        page += fmt::format(
            "  {:<30} {} [{}]\n      {}\n", row.name, row.allowed,
            row.default_value ? *row.default_value : "required", row.meaning);
    }
    return page;
}

} // namespace pollenreel::settings
