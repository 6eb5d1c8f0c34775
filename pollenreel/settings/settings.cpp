#include "pollenreel/settings/settings.hpp"

#include "pollenreel/settings/error.hpp"
#include "pollenreel/settings/schema.hpp"

#include <fmt/format.h>

namespace pollenreel::settings {

namespace {

base::failure fail(error e, const std::string& source, std::string_view what) {
    return {make_error_code(e), fmt::format("{}: {}", source, what)};
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
    BOOST_OUTCOME_TRY(auto read, read_table(text, source, schema()));
    BOOST_OUTCOME_TRY(refuse_clashes(read, source));
    return read;
}

base::result<settings> read_file(const std::string& path) {
    BOOST_OUTCOME_TRY(const auto text, read_all(path));
    return read_text(text, path);
}

std::string describe_keys() {
    return describe(schema());
}

} // namespace pollenreel::settings
