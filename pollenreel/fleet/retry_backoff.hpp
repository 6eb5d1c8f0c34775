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
    static constexpr std::chrono::milliseconds first{250};
    // Entries that lapsed in an outage are held for two seconds from when its
    // end is seen, and have to be dropped within the shortest stable window of
    // the users, 3 s: what remains is for this pause, a connect time-out of
    // 300 ms and the way between regions.
    static constexpr std::chrono::milliseconds longest{400};

    [[nodiscard]] std::chrono::milliseconds
    next(std::chrono::milliseconds most = longest) {
        const auto now = std::min(m_next, most);
        m_next = std::min(m_next * 2, most);
        return now;
    }
    void reset() { m_next = first; }

private:
    std::chrono::milliseconds m_next = first;
};

} // namespace pollenreel::fleet
