// Builds changes and instances for the tests of `follower`.
#pragma once

#include "pollenreel/fleet/follower.hpp"

#include <chrono>
#include <cstdlib>
#include <string>

namespace pollenreel::fleet::testing {

inline const base::time_point start_time{std::chrono::hours(1)};
constexpr std::chrono::milliseconds departure_bound{2500};

inline store::key_change written(const std::string& key, std::int64_t revision,
                                 const std::string& value = "") {
    return {key, {revision}, store::entry{key, value, {revision}, {}}};
}
inline store::key_change removed(const std::string& key,
                                 std::int64_t revision) {
    return {key, {revision}, std::nullopt};
}

inline instance make_instance(const std::string& id,
                              const std::string& region) {
    instance i;
    i.id = base::instance_id(id);
    i.region = base::region_id(region);
    // Names end in a number, which becomes the port.
    const auto dash = id.rfind('-');
    const auto number = std::strtoul(id.c_str() + dash + 1, nullptr, 10);
    i.relay_endpoint =
        base::endpoint{"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    return i;
}

// Keys "t/ID" are targets, their value may be "draining"; "i/ID" are instances,
// their value is the bandwidth of their link; "e/ID" are evacuations of failure
// domains; "c" holds the configuration, its version is the revision.
inline change decode(const store::key_change& c) {
    if (c.key == "c" && !c.value) {
        return unrelated{};
    }
    if (c.key == "c") {
        configuration_written w;
        w.configuration.version =
            base::config_version(static_cast<std::uint64_t>(c.at.value));
        return w;
    }
    if (c.key.starts_with("i/")) {
        const auto name = c.key.substr(2);
        if (!c.value) {
            return instance_removed{base::instance_id(name)};
        }
        auto i = make_instance(name, "a");
        if (!c.value->value.empty()) {
            i.link_mbps = std::stod(c.value->value);
        }
        return instance_written{i};
    }
    if (c.key.starts_with("e/")) {
        const base::failure_domain_id domain(c.key.substr(2));
        return c.value ? change(evacuation_begun{domain})
                       : change(evacuation_ended{domain});
    }
    const base::target_id id(c.key.substr(2));
    if (!c.value) {
        return target_removed{id};
    }
    target_report r;
    r.id = id;
    r.draining = c.value->value == "draining";
    return target_written{r};
}

} // namespace pollenreel::fleet::testing
