// Limits the bytes that a sender adds to a link (token bucket): `window` worth
// of the link's bandwidth at once, and as much again every `refill_time`.
//
//   fleet::send_budget b(25e6, 250ms, 1s);
//   if (b.try_spend(bytes, now)) { ... }
#pragma once

#include "pollenreel/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace pollenreel::fleet {

// Performs no I/O. Not thread-safe.
class send_budget {
public:
    // A rate of 0 means that the bandwidth is unknown: there is no limit.
    send_budget(double bytes_per_second, std::chrono::milliseconds window,
                std::chrono::milliseconds refill_time)
        : m_capacity(bytes_per_second * seconds(window).count()),
          m_refill_time(refill_time), m_available(m_capacity) {}

    bool try_spend(std::size_t bytes, base::time_point now) {
        if (m_capacity <= 0) {
            return true;
        }
        m_available = std::min(
            m_capacity, m_available + m_capacity * (seconds(now - m_at) /
                                                    seconds(m_refill_time)));
        m_at = now;
        if (m_available < static_cast<double>(bytes)) {
            return false;
        }
        m_available -= static_cast<double>(bytes);
        return true;
    }

private:
    using seconds = std::chrono::duration<double>;

    double m_capacity; // bytes
    std::chrono::milliseconds m_refill_time;
    double m_available;
    base::time_point m_at{};
};

} // namespace pollenreel::fleet
