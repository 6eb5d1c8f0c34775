#include "pollenreel/dispatch/region_wait.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using namespace std::chrono_literals;

// Length of the moving average, in samples: about two seconds of an instance's
// requests for a busy service.
constexpr double window_samples = 20;
// With fewer samples the mean says little.
constexpr std::uint32_t min_samples = 10;
// A measurement without a new sample for this long is not used.
constexpr base::duration max_age = 5s;
// The other side must be better by this factor, so that random variation does
// not move requests to and fro.
constexpr double max_ratio = 0.8;

} // namespace

void region_wait::add(bool abroad, double latencies, base::time_point now) {
    auto& s = abroad ? m_abroad : m_home;
    if (!is_known(s, now) && now - s.updated_at >= max_age) {
        s = {};
    }
    ++s.samples;
    s.mean += (latencies - s.mean) /
              std::min(window_samples, static_cast<double>(s.samples));
    s.updated_at = now;
}

void region_wait::add_unanswered(bool abroad, double latencies,
                                 base::time_point now) {
    // The answer would have taken longer; a hedge that was not needed after a
    // short time tells nothing.
    const auto& s = abroad ? m_abroad : m_home;
    if (s.samples > 0 && latencies > s.mean) {
        add(abroad, latencies, now);
    }
}

bool region_wait::is_known(const side& s, base::time_point now) {
    return s.samples >= min_samples && now - s.updated_at < max_age;
}

std::optional<bool>
region_wait::is_better_elsewhere(bool abroad, base::time_point now) const {
    if (!is_known(m_home, now) || !is_known(m_abroad, now)) {
        return std::nullopt;
    }
    const auto& here = abroad ? m_abroad : m_home;
    const auto& there = abroad ? m_home : m_abroad;
    return there.mean < here.mean * max_ratio;
}

} // namespace pollenreel::dispatch
