// The settings of one entry instance that learns its fleet from the platform's
// store, read from an INI file by one table of keys.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/log/logger.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenreel::entry {

struct settings {
    // [instance]
    base::instance_id id;
    base::failure_domain_id failure_domain;
    base::region_id region;
    log::level log_level = log::level::info;
    // [listen]
    base::endpoint callers;
    base::endpoint readiness;
    base::endpoint directory;
    base::endpoint metrics;
    // [fleet]
    fleet::regions_of regions;
    std::chrono::milliseconds heartbeat_interval{};
    // [store]
    base::endpoint store;
    std::string key_prefix;
    std::chrono::milliseconds call_timeout{};
    std::chrono::milliseconds departure_bound{};
    std::chrono::milliseconds configuration_bound{};
    // Least time between two returns of a watch; follows from the bounds.
    std::chrono::milliseconds watch_interval{};
    // [limits]
    dispatch::joint_limits limits;
    std::uint32_t max_callers = 0;
    std::chrono::milliseconds target_idle{};
    std::chrono::milliseconds lookup_time_to_live{};
    std::chrono::milliseconds stop_grace{};
};

[[nodiscard]] base::result<settings> read_text(std::string_view text,
                                               const std::string& source);
[[nodiscard]] base::result<settings> read_file(const std::string& path);
[[nodiscard]] std::string describe_keys();

} // namespace pollenreel::entry
