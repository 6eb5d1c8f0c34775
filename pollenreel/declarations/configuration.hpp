// The whole configuration of the fleet at one version: what is declared and
// what operators have commanded since. The unit that is committed to the
// platform's store and passed between instances.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/document.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pollenreel::declarations {

enum class shift_state { active, paused, reversing };

// A commanded move of a service's traffic between regions.
struct shift {
    base::shift_id id;
    base::service_id service;
    base::region_id from;
    base::region_id to;
    std::uint32_t percent = 0;
    std::uint64_t cap_megabits_per_second = 0;
    std::chrono::seconds over{0};
    shift_state state = shift_state::active;

    friend bool operator==(const shift&, const shift&) = default;
};

// Most requests a second that the targets of `service` in `region` are given.
struct limit {
    base::service_id service;
    base::region_id region;
    std::uint64_t requests_per_second = 0;

    friend bool operator==(const limit&, const limit&) = default;
};

// Operators' standing commands.
struct steering {
    std::set<base::target_id> drained_targets;
    std::set<base::failure_domain_id> drained_domains;
    std::set<base::instance_id> drained_instances;
    std::vector<shift> shifts;
    std::vector<limit> limits;

    friend bool operator==(const steering&, const steering&) = default;
};

// One accepted change, as operators' history shows it.
struct change_record {
    base::config_version version; // that it made
    base::command_id command;
    std::string author;
    std::string summary;
    // What it changed; two changes made at once conflict if their scopes are
    // the same, and commute if not.
    std::string scope;
    std::chrono::sys_time<std::chrono::milliseconds> at{};

    friend bool operator==(const change_record&,
                           const change_record&) = default;
};

// How many changes are remembered: a command whose answer was lost is
// recognised until as many others came after it.
constexpr std::size_t most_recent_changes = 256;
// Most bytes of an encoded configuration: what one value of the store holds.
constexpr std::size_t most_configuration_bytes = 1'000'000;

struct configuration {
    base::config_version version;
    base::command_id command; // the command that made this version
    std::string author;
    std::string summary;
    document declared;
    steering commanded;
    std::vector<change_record> recent; // oldest first

    // The change that `command` made, if it is still remembered.
    [[nodiscard]] const change_record*
    find_change(const base::command_id& id) const;
};

// JSON text of the whole configuration, and back. Decoding validates as
// `parse_document` does.
[[nodiscard]] std::string encode(const configuration& c);
[[nodiscard]] base::result<configuration> decode(std::string_view text);

} // namespace pollenreel::declarations
