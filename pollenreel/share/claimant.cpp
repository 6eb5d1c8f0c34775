#include "pollenreel/share/claimant.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>

namespace pollenreel::share {

ppm floor_share(std::uint32_t fleet_instances) {
    return {floor_pool.value / std::max<std::uint32_t>(fleet_instances, 1)};
}

claimant::claimant(incarnation_id self, base::endpoint reply_to, ppm floor)
    : m_self(std::move(self)), m_reply_to(std::move(reply_to)), m_floor(floor) {
}

void claimant::set_demand(const resource_id& r, ppm amount) {
    m_shares[r].demand = amount;
}

std::set<base::region_id> claimant::owners() const {
    std::set<base::region_id> all;
    for (const auto& [resource, s] : m_shares) {
        all.insert(resource.owner);
    }
    return all;
}

bool claimant::lacks_share(const base::region_id& owner,
                           base::time_point now) const {
    return std::any_of(
        m_shares.begin(), m_shares.end(), [&](const auto& entry) {
            const auto& s = entry.second;
            const bool none = s.held == ppm{} || now >= s.until;
            return entry.first.owner == owner && s.demand > ppm{} && none;
        });
}

std::optional<request> claimant::next_request(const base::region_id& owner,
                                              base::time_point now) {
    auto& state = m_requests[owner];
    const bool urgent = lacks_share(owner, now) || !state.answered;
    const base::duration period =
        urgent ? min_request_interval : request_period;
    if (state.sequence != 0 && now - state.sent_at < period) {
        return std::nullopt;
    }
    request next{m_self, m_reply_to, owner, ++m_last_sequence, state.epoch, {}};
    for (const auto& [resource, s] : m_shares) {
        if (resource.owner == owner) {
            const auto held = now < s.until ? s.held : ppm{};
            next.items.push_back({resource, held, s.demand});
        }
    }
    if (next.items.empty()) {
        return std::nullopt;
    }
    state = {next.sequence, state.epoch, now, false, state.unanswered + 1};
    return next;
}

void claimant::on_grant(const grant& answer, base::time_point now) {
    const auto latest = m_requests.find(answer.owner);
    if (answer.claimant != m_self || latest == m_requests.end() ||
        latest->second.sequence != answer.sequence || latest->second.answered) {
        return;
    }
    latest->second.answered = true;
    latest->second.epoch = answer.epoch;
    latest->second.unanswered = 0;
    const auto until = latest->second.sent_at + share_term;
    for (const auto& item : answer.items) {
        const auto found = m_shares.find(item.resource);
        if (found != m_shares.end()) {
            found->second.held = item.share;
            found->second.until = until;
        }
    }
    std::erase_if(m_shares, [&](const auto& entry) {
        const auto& s = entry.second;
        return entry.first.owner == answer.owner && s.demand == ppm{} &&
               (s.held == ppm{} || now >= s.until);
    });
}

std::uint32_t
claimant::unanswered_requests(const base::region_id& owner) const {
    const auto state = m_requests.find(owner);
    return state == m_requests.end() ? 0 : state->second.unanswered;
}

usable_share claimant::share_of(const resource_id& r,
                                base::time_point now) const {
    const auto found = m_shares.find(r);
    if (found == m_shares.end() || now >= found->second.until) {
        return {m_floor, m_floor, base::time_point::max()};
    }
    return {m_floor + found->second.held, m_floor, found->second.until};
}

} // namespace pollenreel::share
