// Measures how late the timers of an event loop run, which is how long the loop
// was busy or its process had no processor.
//
//   loop_delay delay;
//   if (const auto late = delay.on_timer(due, clock.now())) {
//       log.warning("event_loop_delayed", {{"late_ms", late->count()}});
//   }
#pragma once

#include "pollenreel/base/clock.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::entry {

// `on_timer` is for the loop's thread; `total` for any.
class loop_delay {
public:
    // Delays below this are not reported.
    static constexpr std::chrono::milliseconds report_threshold{250};
    static constexpr std::chrono::milliseconds report_interval{1000};

    // A timer that was due at `due` runs at `now`. Returns the longest delay
    // since the last one that was returned, at most once an interval.
    std::optional<std::chrono::milliseconds> on_timer(base::time_point due,
                                                      base::time_point now);
    // Of all delays.
    [[nodiscard]] std::chrono::milliseconds total() const {
        return std::chrono::milliseconds(m_total_ms.load());
    }

private:
    std::chrono::milliseconds m_longest{};
    std::optional<base::time_point> m_reported_at;
    std::atomic<std::int64_t> m_total_ms{0};
};

} // namespace pollenreel::entry
