// How long to wait before the platform's store is asked again after failures
// in a row: each wait is twice the one before, up to a bound, so that an
// outage costs few calls and its end is still seen soon.
//
//   retry_backoff b;
//   retry_at = now + b.next();
//   b.reset(); // an answer came
#pragma once

#include <algorithm>
#include <chrono>

namespace pollenreel::fleet {

class retry_backoff {
public:
    static constexpr std::chrono::milliseconds initial_delay{250};
    // Entries that lapsed in an outage are held for two seconds from when its
    // end is seen, and have to be dropped within the shortest stable window of
    // the users, 3 s: what remains is for this pause, a connect time-out of
    // 300 ms and the way between regions.
    static constexpr std::chrono::milliseconds max_delay{400};

    [[nodiscard]] std::chrono::milliseconds
    next_delay(std::chrono::milliseconds limit = max_delay) {
        const auto delay = std::min(m_next_delay, limit);
        m_next_delay = std::min(m_next_delay * 2, limit);
        return delay;
    }
    void reset() { m_next_delay = initial_delay; }

private:
    std::chrono::milliseconds m_next_delay = initial_delay;
};

} // namespace pollenreel::fleet
