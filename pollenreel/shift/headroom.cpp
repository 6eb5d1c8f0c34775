#include "pollenreel/shift/headroom.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

double completed_fraction(base::duration passed, base::duration whole) {
    const auto part = std::chrono::duration<double>(passed) /
                      std::chrono::duration<double>(whole);
    return std::clamp(part, 0.0, 1.0);
}

} // namespace

void headroom::on_report(const place_load& l, base::time_point now) {
    m_latest = received{l, now};
}

double headroom::allowed(base::time_point now) const {
    if (!m_latest) {
        return 0;
    }
    const auto& l = m_latest->load;
    const double free = l.slots * max_spill_fill - l.used;
    const double part = free / std::max<std::uint32_t>(l.entries, 1);
    if (part < 0) {
        return std::max(0.0, l.mine + part);
    }
    if (now - m_latest->at > max_spill_report_age) {
        return l.mine;
    }
    return l.mine + part;
}

void failback::observe(bool own_available, base::time_point now) {
    if (!own_available) {
        m_failed = true;
        m_healthy_since.reset();
    } else if (!m_healthy_since) {
        m_healthy_since = now;
    }
    if (m_healthy_since &&
        now - *m_healthy_since >= return_delay + return_ramp) {
        m_failed = false;
    }
}

double failback::local_fraction(base::time_point now) const {
    if (!m_failed) {
        return 1;
    }
    if (!m_healthy_since) {
        return 0;
    }
    return completed_fraction(now - *m_healthy_since - return_delay,
                              return_ramp);
}

} // namespace pollenreel::shift
