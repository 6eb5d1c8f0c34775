#include "pollenreel/control/member_table.hpp"

namespace pollenreel::control {

member_table::member_table(base::instance_id self) : m_self(std::move(self)) {}

void member_table::learn(const peer::member& m) {
    if (m.instance == m_self) {
        return;
    }
    auto& known = m_members[m.instance];
    if (m.incarnation >= known.member.incarnation) {
        known.member = m;
    }
}

void member_table::on_heartbeat(const peer::heartbeat& h,
                                base::time_point now) {
    learn(h.sender);
    const auto found = m_members.find(h.sender.instance);
    if (found != m_members.end() &&
        found->second.member.incarnation == h.sender.incarnation) {
        found->second.applied = h.applied;
        found->second.last_heard = now;
    }
    for (const auto& m : h.known) {
        learn(m);
    }
}

std::vector<known_member> member_table::usable(base::time_point now) const {
    std::vector<known_member> kept;
    for (const auto& [id, m] : m_members) {
        if (!m.member.leaving && now - m.last_heard < silence_limit) {
            kept.push_back(m);
        }
    }
    return kept;
}

std::vector<base::endpoint> member_table::addresses() const {
    std::vector<base::endpoint> list;
    for (const auto& [id, m] : m_members) {
        list.push_back(m.member.peer_address);
    }
    return list;
}

} // namespace pollenreel::control
