#include "pollenreel/share/claimant.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>

namespace pollenreel::share {

parts floor_share(std::uint32_t fleet_instances) {
    return {floor_pool.value / std::max<std::uint32_t>(fleet_instances, 1)};
}

claimant::claimant(claimant_id self, base::endpoint reply_to, parts floor)
    : m_self(std::move(self)), m_reply_to(std::move(reply_to)), m_floor(floor) {
}

void claimant::want(const resource& r, parts amount) {
    m_shares[r].wanted = amount;
}

std::set<base::region_id> claimant::owners() const {
    std::set<base::region_id> all;
    for (const auto& [what, s] : m_shares) {
        all.insert(what.owner);
    }
    return all;
}

bool claimant::short_of_share(const base::region_id& owner,
                              base::time_point now) const {
    return std::any_of(
        m_shares.begin(), m_shares.end(), [&](const auto& entry) {
            const auto& s = entry.second;
            const bool none = s.held == parts{} || now >= s.until;
            return entry.first.owner == owner && s.wanted > parts{} && none;
        });
}

std::optional<ask> claimant::next_ask(const base::region_id& owner,
                                      base::time_point now) {
    auto& p = m_pending[owner];
    const bool hurry = short_of_share(owner, now) || !p.answered;
    const base::duration period = hurry ? least_ask_gap : ask_period;
    if (p.sequence != 0 && now - p.asked_at < period) {
        return std::nullopt;
    }
    ask a{m_self, m_reply_to, owner, ++m_last_sequence, p.epoch, {}};
    for (const auto& [what, s] : m_shares) {
        if (what.owner == owner) {
            const auto held = now < s.until ? s.held : parts{};
            a.items.push_back({what, held, s.wanted});
        }
    }
    if (a.items.empty()) {
        return std::nullopt;
    }
    p = {a.sequence, p.epoch, now, false, p.unanswered + 1};
    return a;
}

void claimant::on_grant(const grant& g, base::time_point now) {
    const auto p = m_pending.find(g.owner);
    if (g.claimant != m_self || p == m_pending.end() ||
        p->second.sequence != g.sequence || p->second.answered) {
        return;
    }
    p->second.answered = true;
    p->second.epoch = g.epoch;
    p->second.unanswered = 0;
    const auto until = p->second.asked_at + share_term;
    for (const auto& item : g.items) {
        const auto found = m_shares.find(item.what);
        if (found != m_shares.end()) {
            found->second.held = item.share;
            found->second.until = until;
        }
    }
    std::erase_if(m_shares, [&](const auto& entry) {
        const auto& s = entry.second;
        return entry.first.owner == g.owner && s.wanted == parts{} &&
               (s.held == parts{} || now >= s.until);
    });
}

std::uint32_t claimant::unanswered(const base::region_id& owner) const {
    const auto p = m_pending.find(owner);
    return p == m_pending.end() ? 0 : p->second.unanswered;
}

usable_share claimant::share_of(const resource& r, base::time_point now) const {
    const auto found = m_shares.find(r);
    if (found == m_shares.end() || now >= found->second.until) {
        return {m_floor, m_floor, base::time_point::max()};
    }
    return {m_floor + found->second.held, m_floor, found->second.until};
}

} // namespace pollenreel::share
