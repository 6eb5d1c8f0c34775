// The whole configuration of the fleet at one version: what is declared and
// what operators have commanded since. The unit that is committed to the
// platform's store and passed between instances.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/document.hpp"

#include <set>
#include <string>
#include <string_view>

namespace pollenreel::declarations {

// Operators' standing commands.
struct steering {
    std::set<base::target_id> drained_targets;

    friend bool operator==(const steering&, const steering&) = default;
};

struct configuration {
    base::config_version version;
    base::command_id command; // the command that made this version
    std::string author;
    std::string summary;
    document declared;
    steering commanded;
};

// JSON text of the whole configuration, and back. Decoding validates as
// `parse_document` does.
[[nodiscard]] std::string encode(const configuration& c);
[[nodiscard]] base::result<configuration> decode(std::string_view text);

} // namespace pollenreel::declarations
