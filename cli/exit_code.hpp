// What the tool's exit status tells a script.
#pragma once

#include <string_view>

namespace pollenreel::cli {

enum class exit_code {
    done = 0,         // answered, accepted, or held already
    refused = 1,      // nothing was changed
    lost_race = 2,    // another operator's change came first
    unknown = 3,      // may have been accepted: repeat with the command id
    differences = 4,  // plan: the file differs and may be applied
    not_in_force = 5, // accepted, but --wait gave up waiting
    bad_usage = 64,   // the command line or the command cannot be read
    unreachable = 69, // no instance was reached; nothing was changed
    bad_token = 77,   // the instance does not take the token
};

constexpr std::string_view exit_codes_help =
    "Exit status: 0 answered, accepted or held already; 1 refused; 2 another "
    "change came first; 3 unknown, repeat with --command-id; 4 plan found "
    "differences; 5 accepted but not in force within --wait-seconds; 64 bad "
    "usage; 69 no instance reached; 77 token not taken.";

} // namespace pollenreel::cli
