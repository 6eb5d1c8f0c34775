// The least duration lately seen: of the current and the previous period.
//
//   shift::recent_least round_trip;
//   round_trip.add(took, now);
//   auto least = round_trip.value(); // empty before the first
#pragma once

#include "pollenreel/base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace pollenreel::shift {

// Trades how soon a longer path is noticed against how sure a least is.
constexpr std::chrono::seconds least_period{30};

class recent_least {
public:
    void add(base::duration d, base::time_point now) {
        if (!m_began || now - *m_began >= least_period) {
            m_before = m_now;
            m_now.reset();
            m_began = now;
        }
        m_now = std::min(d, m_now.value_or(d));
    }
    [[nodiscard]] std::optional<base::duration> value() const {
        if (m_now && m_before) {
            return std::min(*m_now, *m_before);
        }
        return m_now ? m_now : m_before;
    }

private:
    std::optional<base::duration> m_now;
    std::optional<base::duration> m_before;
    std::optional<base::time_point> m_began;
};

} // namespace pollenreel::shift
