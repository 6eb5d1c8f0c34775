#include "pollenreel/dispatch/rate_limiter.hpp"

#include <algorithm>
#include <chrono>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// How long a probe may be sent in each period. A request may come rarely, so a
// shorter window would often pass unused.
constexpr std::chrono::seconds probe_window{1};

} // namespace

void rate_limiter::set(const limit_share& share, double phase,
                       base::time_point now) {
    m_saved = m_is_set ? std::min(saved(now), share.burst) : phase;
    m_counted_at = now;
    m_share = share;
    m_phase = phase;
    m_is_set = true;
}

double rate_limiter::saved(base::time_point now) const {
    return std::min(m_share.burst,
                    m_saved + m_share.per_second *
                                  seconds(now - m_counted_at).count());
}

base::time_point rate_limiter::window_at(base::time_point now) const {
    const auto period = m_share.probe_period;
    const auto offset =
        std::chrono::duration_cast<base::duration>(seconds(period) * m_phase);
    const auto since = (now.time_since_epoch() + offset) % period;
    return since < probe_window && m_sent_at < now - since
               ? now - since
               : now - since + period;
}

bool rate_limiter::allows(base::time_point now) const {
    if (!m_is_set) {
        return true;
    }
    return m_share.probes() ? window_at(now) <= now : saved(now) >= 1;
}

void rate_limiter::on_sent(base::time_point now) {
    m_saved = saved(now) - 1;
    m_counted_at = now;
    m_sent_at = now;
}

base::time_point rate_limiter::next_at(base::time_point now) const {
    if (allows(now)) {
        return now;
    }
    if (m_share.probes()) {
        return window_at(now);
    }
    return now + std::chrono::duration_cast<base::duration>(
                     seconds((1 - saved(now)) / m_share.per_second));
}

} // namespace pollenreel::dispatch
