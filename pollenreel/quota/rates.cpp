#include "pollenreel/quota/rates.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::quota {

namespace {

// Below this the quotient of few events and little time says nothing.
constexpr double min_seconds = 0.25;

} // namespace

void decaying_rate::add(double events, base::time_point now,
                        base::duration spread) {
    if (now > m_at) {
        const double kept = std::exp(-seconds(now - m_at) / m_memory.count());
        m_events *= kept;
        m_seconds = m_seconds * kept + m_memory.count() * (1 - kept);
        m_at = now;
    }
    const double part = seconds(spread) / m_memory.count();
    m_events += part > 0 ? events * (1 - std::exp(-part)) / part : events;
}

double decaying_rate::per_second(base::time_point now) const {
    auto at_now = *this;
    at_now.add(0, now);
    return std::max(0.0, at_now.m_events) /
           std::max(min_seconds, at_now.m_seconds);
}

void credit::refill(double per_second, double depth, base::time_point now) {
    if (now > m_at) {
        m_amount += per_second * seconds(now - m_at);
        m_at = now;
    }
    m_amount = std::min(m_amount, depth);
}

} // namespace pollenreel::quota
