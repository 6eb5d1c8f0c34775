#include "pollenreel/membership/probe_tracker.hpp"

#include <algorithm>

namespace pollenreel::membership {

std::uint64_t probe_tracker::add(open_probe probe) {
    m_open.emplace(++m_last_sequence, std::move(probe));
    return m_last_sequence;
}

std::uint64_t probe_tracker::begin_direct(const base::instance_id& target,
                                          const base::endpoint& address,
                                          base::time_point now) {
    return add({target, address, std::nullopt, now + direct_timeout, false});
}

std::uint64_t probe_tracker::begin_discovery(base::time_point now) {
    return add({{}, {}, std::nullopt, now + direct_timeout, true});
}

std::uint64_t probe_tracker::begin_on_behalf_of(requester from,
                                                base::time_point now) {
    return add({{}, {}, std::move(from), now + indirect_timeout, true});
}

std::optional<probe_tracker::requester>
probe_tracker::on_answer(std::uint64_t sequence) {
    const auto found = m_open.find(sequence);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto on_behalf = std::move(found->second.on_behalf_of);
    m_open.erase(found);
    return on_behalf;
}

probe_tracker::timeouts probe_tracker::expire(base::time_point now) {
    timeouts d;
    for (auto it = m_open.begin(); it != m_open.end();) {
        auto& o = it->second;
        if (o.deadline > now) {
            ++it;
        } else if (!o.indirect) {
            o.indirect = true;
            o.deadline = now + indirect_timeout;
            d.retry.push_back(it->first);
            ++it;
        } else {
            if (!o.target.empty()) {
                d.unreachable.push_back(o.target);
            }
            it = m_open.erase(it);
        }
    }
    return d;
}

const base::endpoint& probe_tracker::address(std::uint64_t sequence) const {
    return m_open.at(sequence).address;
}

bool probe_tracker::is_probing(const base::instance_id& target) const {
    return std::any_of(m_open.begin(), m_open.end(), [&](const auto& o) {
        return o.second.target == target;
    });
}

} // namespace pollenreel::membership
