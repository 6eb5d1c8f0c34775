// Exponential backoff for calls to the platform's store. The delay doubles up
// to a bound, so that an outage causes few calls and its end is detected
// quickly.
//
//   retry_backoff backoff;
//   retry_at = now + backoff.next_delay();
//   backoff.reset(); // on success
#pragma once

#include <algorithm>
#include <chrono>

namespace pollenreel::fleet {

class retry_backoff {
public:
    static constexpr std::chrono::milliseconds initial_delay{250};
    // Entries that expired in an outage are kept for 2 s after its end is
    // detected and must be removed within the shortest stable window of 3 s.
    // The difference must cover this delay, a connect timeout of 300 ms and the
    // latency between regions.
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
