#include "pollenreel/share/ledger.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>
#include <vector>

namespace pollenreel::share {

ledger::ledger(ppm pool, ppm inherited, base::time_point inherited_until)
    : m_pool(pool), m_inherited(inherited), m_inherited_until(inherited_until) {
}

std::optional<ppm> ledger::on_request(const incarnation_id& claimant,
                                      const claim& claimed,
                                      base::time_point now) {
    remove_expired(now);
    auto& account = m_records[claimant];
    if (claimed.sequence < account.sequence) {
        return std::nullopt;
    }
    if (claimed.sequence == account.sequence) {
        return account.granted;
    }
    if (claimed.held_from_earlier_epoch && now < m_inherited_until) {
        transfer_inherited(account, claimed.held);
    }
    account.sequence = claimed.sequence;
    account.demand = claimed.demand;
    account.max_in_use = claimed.held;
    account.until = now + with_clock_drift(share_term) + share_grace_period;
    const auto free = m_limit - outstanding(now);
    account.granted = std::min(fair_share(claimed.demand), claimed.held + free);
    account.max_in_use = std::max(claimed.held, account.granted);
    return account.granted;
}

void ledger::transfer_inherited(record& account, ppm held) {
    m_inherited = m_inherited + account.inherited;
    account.inherited = std::min(held, m_inherited);
    m_inherited = m_inherited - account.inherited;
}

ppm ledger::outstanding(base::time_point now) const {
    ppm sum = now < m_inherited_until ? m_inherited : ppm{};
    for (const auto& [claimant, account] : m_records) {
        if (now < account.until) {
            sum = sum + account.max_in_use;
        }
    }
    return sum;
}

ppm ledger::desired_limit(base::time_point now) const {
    auto sum = outstanding(now);
    for (const auto& [claimant, account] : m_records) {
        sum = sum + (fair_share(account.demand) - account.max_in_use);
    }
    return std::min(sum, m_pool);
}

void ledger::remove_expired(base::time_point now) {
    if (now >= m_inherited_until) {
        m_inherited = {};
    }
    std::erase_if(m_records,
                  [&](const auto& r) { return now >= r.second.until; });
}

ppm ledger::fair_share(ppm demand) const {
    std::vector<ppm> demands;
    for (const auto& [claimant, account] : m_records) {
        demands.push_back(account.demand);
    }
    std::sort(demands.begin(), demands.end());
    auto remaining = m_pool;
    auto remaining_claimants = static_cast<std::uint32_t>(demands.size());
    for (const auto smallest : demands) {
        const ppm equal{remaining.value / remaining_claimants};
        if (smallest >= equal) {
            return std::min(demand, equal);
        }
        remaining = remaining - smallest;
        --remaining_claimants;
    }
    return demand;
}

} // namespace pollenreel::share
