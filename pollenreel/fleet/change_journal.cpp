#include "pollenreel/fleet/change_journal.hpp"

namespace pollenreel::fleet {

void change_journal::begin(store::revision at) {
    m_begin = at;
    m_changes.clear();
    m_last.clear();
}

void change_journal::add(const store::key_change& c) {
    const auto [last, first_time] = m_last.try_emplace(c.key, c.at);
    if (!first_time) {
        m_changes.erase({last->second, c.key});
        last->second = c.at;
    }
    m_changes.insert_or_assign({c.at, c.key}, c);
    while (m_changes.size() > most_changes) {
        const auto oldest = m_changes.begin();
        m_begin = oldest->first.first;
        m_last.erase(oldest->first.second);
        m_changes.erase(oldest);
    }
}

std::optional<std::vector<store::key_change>>
change_journal::between(store::revision known, store::revision until) const {
    if (known < m_begin) {
        return std::nullopt;
    }
    std::vector<store::key_change> missed;
    const store::revision next{known.value + 1};
    for (auto i = m_changes.lower_bound({next, {}});
         i != m_changes.end() && i->first.first <= until; ++i) {
        missed.push_back(i->second);
    }
    return missed;
}

} // namespace pollenreel::fleet
