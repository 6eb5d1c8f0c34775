// The settings of one entry instance that learns its fleet from the platform's
// store, read from an INI file by one table of keys.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/log/logger.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::entry {

struct settings {
    // [instance]
    base::instance_id id;
    base::failure_domain_id failure_domain;
    base::region_id region;
    log::level log_level = log::level::info;
    double link_mbps = 0; // 0 if unknown
    std::uint64_t memory_mb = 256;
    // [listen]
    base::endpoint callers;
    base::endpoint readiness;
    base::endpoint directory;
    base::endpoint metrics;
    // Where instances of the region ask for changes; empty: they cannot.
    std::optional<base::endpoint> relay;
    // [fleet]
    fleet::region_map regions;
    std::chrono::milliseconds heartbeat_interval{};
    // An instance that died may be named to callers for this long and three
    // seconds more, as the users' rules say.
    std::chrono::seconds stable_window{};
    // [store]
    base::endpoint store;
    std::string key_prefix;
    std::chrono::milliseconds call_timeout{};
    std::chrono::milliseconds departure_bound{};
    std::chrono::milliseconds configuration_bound{};
    // The shorter of the two.
    [[nodiscard]] std::chrono::milliseconds change_bound() const {
        return std::min(departure_bound, configuration_bound);
    }
    // As it is announced to the others.
    [[nodiscard]] fleet::instance self() const {
        return {id, callers, failure_domain, region, relay, link_mbps};
    }
    // [limits]
    dispatch::fleet_limits limits;
    std::uint32_t max_callers = 0;
    std::chrono::milliseconds target_idle{};
    std::chrono::milliseconds proven_idle{};
    std::chrono::milliseconds lookup_time_to_live{};
    std::chrono::milliseconds stop_grace{};
};

[[nodiscard]] base::result<settings> read_text(std::string_view text,
                                               const std::string& source);
[[nodiscard]] base::result<settings> read_file(const std::string& path);
[[nodiscard]] std::string describe_keys();

} // namespace pollenreel::entry
