// The smallest duration in the current and the previous period.
//
//   shift::recent_least round_trip;
//   round_trip.add(took, now);
//   auto smallest = round_trip.value(); // empty before the first
#pragma once

#include "pollenreel/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace pollenreel::shift {

// A shorter period detects a longer path sooner; a longer one gives a more
// reliable minimum.
constexpr std::chrono::seconds recent_least_period{30};

class recent_least {
public:
    void add(base::duration d, base::time_point now) {
        if (!m_period_start || now - *m_period_start >= recent_least_period) {
            m_previous = m_current;
            m_current.reset();
            m_period_start = now;
        }
        m_current = std::min(d, m_current.value_or(d));
    }
    [[nodiscard]] std::optional<base::duration> value() const {
        if (m_current && m_previous) {
            return std::min(*m_current, *m_previous);
        }
        return m_current ? m_current : m_previous;
    }

private:
    std::optional<base::duration> m_current;
    std::optional<base::duration> m_previous;
    std::optional<base::time_point> m_period_start;
};

} // namespace pollenreel::shift
