// What one instance, or several added up, tell of their service levels: good
// and all requests of each service, kind of work and region over the report's
// windows, and the latency distribution. Counts add up exactly.
#pragma once

#include "pollenreel/base/failure.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/declarations/document.hpp"
#include "pollenreel/metrics/latency_distribution.hpp"

#include <boost/json/value.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace pollenreel::report {

// The windows of the multi-window, multi-burn-rate alerts (Google, "The Site
// Reliability Workbook", 2018, chapter 5).
constexpr std::array<std::chrono::seconds, 5> windows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::hours(72)};
// Points of the plots, newest first.
constexpr std::size_t minute_points = 60;
constexpr std::size_t hour_points = 72;

struct level_key {
    base::service_id service;
    base::kind_id kind;
    // Of the target; of the entry instance for requests that met no target.
    base::region_id region;

    friend auto operator<=>(const level_key&, const level_key&) = default;
};

struct level_counts {
    std::uint64_t good = 0;
    std::uint64_t total = 0;

    void add(const level_counts& other) {
        good += other.good;
        total += other.total;
    }
    friend bool operator==(const level_counts&, const level_counts&) = default;
};

struct level {
    declarations::objective objective;
    std::array<level_counts, windows.size()> in_window{};
    std::array<level_counts, minute_points> minutes{};
    std::array<level_counts, hour_points> hours{};
    metrics::latency_distribution latency; // since the start of each instance

    void add(const level& other);
};

struct service_levels {
    std::vector<base::instance_id> instances; // that are added up here
    // Since the youngest instance started: longer windows miss what its
    // predecessor counted.
    std::chrono::seconds covered{0};
    std::map<level_key, level> levels;

    void add(const service_levels& other);
};

[[nodiscard]] boost::json::value to_json(const service_levels& s);

enum class error { malformed = 1 };
[[nodiscard]] std::error_code make_error_code(error e);
// Fails with malformed.
[[nodiscard]] base::result<service_levels>
read_service_levels(const boost::json::value& json);

} // namespace pollenreel::report

template <>
struct std::is_error_code_enum<pollenreel::report::error> : std::true_type {};
