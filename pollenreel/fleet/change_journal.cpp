#include "pollenreel/fleet/change_journal.hpp"

namespace pollenreel::fleet {

void change_journal::reset(store::revision at) {
    m_complete_after = at;
    m_changes.clear();
    m_last_revisions.clear();
}

void change_journal::add(const store::key_change& c) {
    const auto [last, first_time] = m_last_revisions.try_emplace(c.key, c.at);
    if (!first_time) {
        m_changes.erase({last->second, c.key});
        last->second = c.at;
    }
    m_changes.insert_or_assign({c.at, c.key}, c);
    while (m_changes.size() > max_changes) {
        const auto oldest = m_changes.begin();
        m_complete_after = oldest->first.first;
        m_last_revisions.erase(oldest->first.second);
        m_changes.erase(oldest);
    }
}

std::optional<std::vector<store::key_change>>
change_journal::changes_between(store::revision known,
                                store::revision until) const {
    if (known < m_complete_after) {
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

std::optional<store::key_change>
change_journal::last_change(const std::string& key) const {
    const auto last = m_last_revisions.find(key);
    if (last == m_last_revisions.end()) {
        return std::nullopt;
    }
    return m_changes.at({last->second, key});
}

} // namespace pollenreel::fleet
