#include "pollenreel/shift/headroom.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

double part_of(base::duration passed, base::duration whole) {
    const auto part = std::chrono::duration<double>(passed) /
                      std::chrono::duration<double>(whole);
    return std::clamp(part, 0.0, 1.0);
}

} // namespace

void room::on_report(const place_load& l, base::time_point now) {
    m_latest = heard{l, now};
}

double room::allowed(base::time_point now) const {
    if (!m_latest) {
        return 0;
    }
    const auto& l = m_latest->load;
    const double free = l.slots * most_spill_fill - l.used;
    const double part = free / std::max<std::uint32_t>(l.entries, 1);
    if (part < 0) {
        return std::max(0.0, l.mine + part);
    }
    if (now - m_latest->at > oldest_spill_report) {
        return l.mine;
    }
    return l.mine + part;
}

void returning::observe(bool own_takes_work, base::time_point now) {
    if (!own_takes_work) {
        m_failed = true;
        m_well_since.reset();
    } else if (!m_well_since) {
        m_well_since = now;
    }
    if (m_well_since && now - *m_well_since >= return_delay + return_ramp) {
        m_failed = false;
    }
}

double returning::own_part(base::time_point now) const {
    if (!m_failed) {
        return 1;
    }
    if (!m_well_since) {
        return 0;
    }
    return part_of(now - *m_well_since - return_delay, return_ramp);
}

} // namespace pollenreel::shift
