// Counts requests for the metrics page, and writes that page.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/metrics/recorder.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pollenreel::entry {

struct control_counts;

class traffic_metrics {
public:
    void answered(const base::service_id& service, unsigned status,
                  base::duration took, bool in_time);
    void refused(const dispatch::refuse& r, base::duration took);

    struct reading {
        metrics::readings requests;
        std::map<request::reason, std::uint64_t> refusals;
    };
    [[nodiscard]] reading read() const {
        return {m_requests.read(), m_refusals};
    }

private:
    metrics::recorder m_requests;
    std::map<request::reason, std::uint64_t> m_refusals;
};

// What the page shows.
struct metrics_snapshot {
    dispatch::counters requests;
    traffic_metrics::reading recorded;
    std::size_t in_flight = 0;
    std::size_t caller_connections = 0;
    std::uint64_t malformed = 0;
    std::uint64_t left_unread = 0;
    std::uint64_t lookups = 0;
    std::uint64_t checks_for_others = 0;
    std::uint64_t sent_to_evacuated = 0;
    std::size_t target_connections = 0;
    std::uint64_t target_connections_opened = 0;
    std::uint64_t checked_by_others = 0;
    std::size_t receiving_bytes = 0;
    std::uint64_t responses_cut_off = 0;
    const fleet::view* view = nullptr; // null: none yet
    base::time_point now{};
    const control_counts& control;
    std::chrono::milliseconds loop_delay{}; // of the traffic thread, summed up
    // Since the keys were last confirmed; nullopt if they do not lapse.
    std::optional<base::duration> keys_age{};
};

[[nodiscard]] std::string metrics_text(const metrics_snapshot& s);

} // namespace pollenreel::entry
