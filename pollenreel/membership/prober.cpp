#include "pollenreel/membership/prober.hpp"

#include <algorithm>

namespace pollenreel::membership {

std::uint64_t prober::add(open o) {
    m_open.emplace(++m_last, std::move(o));
    return m_last;
}

std::uint64_t prober::begin(const base::instance_id& target,
                            const base::endpoint& address,
                            base::time_point now) {
    return add({target, address, std::nullopt, now + direct_timeout, false});
}

std::uint64_t prober::begin_unjudged(base::time_point now) {
    return add({{}, {}, std::nullopt, now + direct_timeout, true});
}

std::uint64_t prober::begin_for(origin o, base::time_point now) {
    return add({{}, {}, std::move(o), now + indirect_timeout, true});
}

std::optional<prober::origin> prober::answered(std::uint64_t sequence) {
    const auto found = m_open.find(sequence);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto on_behalf = std::move(found->second.on_behalf);
    m_open.erase(found);
    return on_behalf;
}

prober::due prober::expire(base::time_point now) {
    due d;
    for (auto it = m_open.begin(); it != m_open.end();) {
        auto& o = it->second;
        if (o.next > now) {
            ++it;
        } else if (!o.indirect) {
            o.indirect = true;
            o.next = now + indirect_timeout;
            d.retry.push_back(it->first);
            ++it;
        } else {
            if (!o.target.empty()) {
                d.failed.push_back(o.target);
            }
            it = m_open.erase(it);
        }
    }
    return d;
}

const base::endpoint& prober::address(std::uint64_t sequence) const {
    return m_open.at(sequence).address;
}

bool prober::probing(const base::instance_id& target) const {
    return std::any_of(m_open.begin(), m_open.end(), [&](const auto& o) {
        return o.second.target == target;
    });
}

} // namespace pollenreel::membership
