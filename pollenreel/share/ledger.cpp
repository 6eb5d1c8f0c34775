#include "pollenreel/share/ledger.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>
#include <vector>

namespace pollenreel::share {

ledger::ledger(parts pool, parts inherited, base::time_point inherited_until)
    : m_pool(pool), m_inherited(inherited), m_inherited_until(inherited_until) {
}

std::optional<parts> ledger::on_ask(const claimant_id& who, const claim& c,
                                    base::time_point now) {
    forget_ended(now);
    auto& r = m_records[who];
    if (c.sequence < r.sequence) {
        return std::nullopt;
    }
    if (c.sequence == r.sequence) {
        return r.granted;
    }
    if (c.held_from_earlier_epoch && now < m_inherited_until) {
        account_inherited(r, c.held);
    }
    r.sequence = c.sequence;
    r.want = c.want;
    r.most = c.held;
    r.until = now + surely_over(share_term) + settle_time;
    const auto free = m_limit - outstanding(now);
    r.granted = std::min(fair(c.want), c.held + free);
    r.most = std::max(c.held, r.granted);
    return r.granted;
}

void ledger::account_inherited(record& r, parts held) {
    m_inherited = m_inherited + r.inherited;
    r.inherited = std::min(held, m_inherited);
    m_inherited = m_inherited - r.inherited;
}

parts ledger::outstanding(base::time_point now) const {
    parts sum = now < m_inherited_until ? m_inherited : parts{};
    for (const auto& [who, r] : m_records) {
        if (now < r.until) {
            sum = sum + r.most;
        }
    }
    return sum;
}

parts ledger::desired_limit(base::time_point now) const {
    auto sum = outstanding(now);
    for (const auto& [who, r] : m_records) {
        sum = sum + (fair(r.want) - r.most);
    }
    return std::min(sum, m_pool);
}

void ledger::forget_ended(base::time_point now) {
    if (now >= m_inherited_until) {
        m_inherited = {};
    }
    std::erase_if(m_records,
                  [&](const auto& r) { return now >= r.second.until; });
}

parts ledger::fair(parts want) const {
    std::vector<parts> wants;
    for (const auto& [who, r] : m_records) {
        wants.push_back(r.want);
    }
    std::sort(wants.begin(), wants.end());
    auto left = m_pool;
    auto sharers = static_cast<std::uint32_t>(wants.size());
    for (const auto w : wants) {
        const parts equal{left.value / sharers};
        if (w >= equal) {
            return std::min(want, equal);
        }
        left = left - w;
        --sharers;
    }
    return want;
}

} // namespace pollenreel::share
