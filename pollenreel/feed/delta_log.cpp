#include "pollenreel/feed/delta_log.hpp"

#include <algorithm>

namespace pollenreel::feed {

void delta_log::append(delta d) {
    if (!m_deltas.empty() && m_deltas.back().to != d.from) {
        m_deltas.clear();
        m_bytes = 0;
    }
    m_bytes += size_of(d.patch);
    m_deltas.push_back(std::move(d));
    while (m_deltas.size() > most_logged_deltas ||
           m_bytes > most_logged_bytes) {
        m_bytes -= size_of(m_deltas.front().patch);
        m_deltas.pop_front();
    }
}

std::vector<delta> delta_log::since(base::config_version have) const {
    const auto first =
        std::find_if(m_deltas.begin(), m_deltas.end(),
                     [&](const auto& d) { return d.from == have; });
    return {first, m_deltas.end()};
}

} // namespace pollenreel::feed
