#include "pollenreel/dispatch/region_share.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// The bound on shifts applies from one window of this length to the next.
constexpr seconds shift_window{2.0};
// Time between two adaptations of the share.
constexpr seconds adapt_interval{0.5};
// Fractions of the allowed shift that adapting the share and reassigning
// single requests may use. The rest absorbs random variation.
constexpr double adapt_fraction = 0.4;
constexpr double reassign_fraction = 0.25;
// Fraction of the imbalance that one adaptation corrects.
constexpr double gain = 0.5;

} // namespace

double share_abroad(double home_slots, double all_slots, std::size_t regions) {
    if (all_slots <= 0 || regions < 2) {
        return 0;
    }
    return std::clamp(1 - home_slots / all_slots * static_cast<double>(regions),
                      0.0, 1.0);
}

bool region_share::assigned_abroad(std::string_view object) const {
    // Differs from the seed of the rendezvous order, so that the two hashes are
    // independent.
    constexpr std::uint64_t seed = 0x5eed;
    const auto hash = XXH64(object.data(), object.size(), seed);
    return std::ldexp(static_cast<double>(hash), -64) < m_abroad;
}

bool region_share::try_reassign(bool abroad, bool better_elsewhere,
                                base::time_point now) {
    adapt(now);
    ++m_requests;
    if (!better_elsewhere) {
        return false;
    }
    ++(abroad ? m_better_home : m_better_abroad);
    if (m_reassigned + 1 > m_requests * m_most_shifted * reassign_fraction) {
        return false;
    }
    ++m_reassigned;
    return true;
}

void region_share::adapt(base::time_point now) {
    if (now - m_interval_start < adapt_interval) {
        return;
    }
    if (m_requests > 0) {
        const double imbalance =
            (static_cast<double>(m_better_abroad) - m_better_home) / m_requests;
        const double max_step =
            m_most_shifted * adapt_fraction * (adapt_interval / shift_window);
        m_abroad = std::clamp(
            m_abroad + std::clamp(imbalance * gain, -max_step, max_step), 0.0,
            1.0);
    }
    m_interval_start = now;
    m_requests = 0;
    m_better_abroad = 0;
    m_better_home = 0;
    m_reassigned = 0;
}

} // namespace pollenreel::dispatch
