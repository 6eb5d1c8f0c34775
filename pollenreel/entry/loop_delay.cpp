#include "pollenreel/entry/loop_delay.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::entry {

std::optional<std::chrono::milliseconds>
loop_delay::on_timer(base::time_point due, base::time_point now) {
    using std::chrono::milliseconds;
    const auto late = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(now - due));
    m_total_ms += late.count();
    m_longest = std::max(m_longest, late);
    if (m_longest < report_threshold ||
        (m_reported_at && now - *m_reported_at < report_interval)) {
        return std::nullopt;
    }
    m_reported_at = now;
    return std::exchange(m_longest, milliseconds(0));
}

} // namespace pollenreel::entry
