#include "pollenreel/quota/gate.hpp"

#include <algorithm>

namespace pollenreel::quota {

namespace {

using namespace std::chrono_literals;

// A tenant is reported for this long after a request, so that its news stay
// recent; those that are limited are named in all news.
constexpr auto reported_after_request = 5s;
// The guard lets this multiple of the instance's share of the rate pass, so
// that callers may move between instances.
constexpr double guard_rate = 1.4;
// Depth of the guard while the tenant has credit. Poisson arrivals at half the
// guard's rate exceed this about once in 300 requests.
constexpr double guard_depth = 5;
// Depth of the guard while the tenant is limited: what passes before news of a
// sudden rise adds to a window that is already full.
constexpr double limited_guard_depth = 2;
constexpr double limited_guard_excess = 0.3;
// The depth falls as the mean demand rises between these fractions of the
// limit.
constexpr double full_room = 0.75;
constexpr double no_room = 0.85;
// Fraction of the excess that the rule allows which all instances without news
// may save up together.
constexpr double floor_excess = 0.2;
// An instance's share is in equal parts an even one and its fraction of the
// demand, of which it follows this part with each news. Both keep the sum of
// all shares near 1 while demand moves.
constexpr double even_part = 0.5;
constexpr double share_step = 0.05;
constexpr auto min_retry_after = 100ms;

} // namespace

gate::tenant_state::tenant_state(base::time_point now)
    : asked(share_memory, now), guard(now), floor(now) {}

gate::tenant_state& gate::state_of(const routes::tenant& t,
                                   base::time_point now) {
    const auto hash = hash_of(t.name);
    const auto [found, added] = m_tenants.try_emplace(hash, now);
    auto& s = found->second;
    m_started_at = m_started_at.value_or(now);
    if (added && in_contact(now) && !is_new(now)) {
        s.guard.spend(-guard_depth);
    }
    s.usage.tenant = hash;
    s.limit = {t.requests_per_s, t.burst};
    return s;
}

bool gate::is_new(base::time_point now) const {
    return !m_started_at || now - *m_started_at < m_limits.window;
}

void gate::on_tenants(const std::vector<routes::tenant>& tenants,
                      base::time_point now) {
    // Kept, as the counts of a run must not fall.
    for (auto& [hash, s] : m_tenants) {
        s.limit = {};
    }
    m_has_limits = false;
    for (const auto& t : tenants) {
        if (t.requests_per_s > 0) {
            state_of(t, now);
            m_has_limits = true;
        }
    }
}

std::variant<admitted, over_quota> gate::admit(const routes::tenant& t,
                                               std::size_t live_instances,
                                               base::time_point now,
                                               double draw) {
    if (t.requests_per_s <= 0) {
        return admitted{};
    }
    auto& s = state_of(t, now);
    on_instances(live_instances);
    ++s.usage.asked;
    s.asked.add(1, now);
    s.asked_at = now;
    const double share = s.share.value_or(1 / static_cast<double>(m_instances));
    const bool passes =
        in_contact(now) ? draw < s.admit_fraction && try_guard(s, share, now)
                        : try_floor(s, share, now, draw);
    if (passes) {
        ++s.usage.admitted;
        return admitted{};
    }
    return over_quota{
        std::max<std::chrono::milliseconds>(min_retry_after, s.retry_after)};
}

bool gate::try_guard(tenant_state& s, double share,
                     base::time_point now) const {
    const double tight =
        limited_guard_depth +
        limited_guard_excess * allowed_excess(m_limits, s.limit) * share;
    const double wide = std::max(guard_depth, s.limit.burst * share);
    const double used = s.fleet_rate / s.limit.per_second;
    const double room =
        s.admit_fraction < 1
            ? 0
            : std::clamp((no_room - used) / (no_room - full_room), 0.0, 1.0);
    const double depth = std::min(wide, tight + room * (wide - tight));
    s.guard.refill(guard_rate * s.limit.per_second * share, depth, now);
    if (s.guard.amount() < 1) {
        return false;
    }
    s.guard.spend(1);
    return true;
}

bool gate::try_floor(tenant_state& s, double share, base::time_point now,
                     double draw) const {
    // Starts empty when contact ends.
    if (m_contact_until && s.floor.at() < *m_contact_until) {
        s.floor = credit(*m_contact_until);
    }
    const double depth =
        floor_excess * allowed_excess(m_limits, s.limit) * share;
    s.floor.refill(s.limit.per_second * share, depth, now);
    // With many instances none may save up a whole request; it is then drawn
    // for, and the stake is spent.
    const double stake = std::clamp(s.floor.amount(), 0.0, 1.0);
    s.floor.spend(stake);
    return draw < stake;
}

void gate::refund(tenant_hash tenant, base::time_point now) {
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end() || found->second.usage.admitted == 0) {
        return;
    }
    --found->second.usage.admitted;
    (in_contact(now) ? found->second.guard : found->second.floor).spend(-1);
}

usage_report gate::report(const base::instance_id& self, bool whole,
                          base::time_point now) {
    usage_report r{self, m_run, {}, whole};
    for (auto& [hash, s] : m_tenants) {
        const bool recent =
            s.usage != s.reported || now - s.asked_at < reported_after_request;
        if (s.usage.asked != 0 && (whole || recent)) {
            r.usage.push_back(s.usage);
            s.reported = s.usage;
        }
    }
    return r;
}

void gate::on_news(const usage_news& news, base::time_point now) {
    if (!news.is_complete) {
        return;
    }
    const bool regained = !in_contact(now);
    m_contact_until = now + news_lifetime;
    for (auto& [hash, s] : m_tenants) {
        s.admit_fraction = 1;
        s.retry_after = {};
        // The hub knows of credit, or limits the tenant below.
        if (regained && !is_new(now)) {
            s.guard = credit(now);
            s.guard.spend(-guard_depth);
        }
    }
    for (const auto& n : news.tenants) {
        const auto found = m_tenants.find(n.tenant);
        if (found == m_tenants.end()) {
            continue;
        }
        auto& s = found->second;
        s.admit_fraction = n.admit_fraction;
        s.fleet_rate = n.fleet_rate;
        s.retry_after = n.retry_after;
        s.named_at = now;
        if (m_instances == 0) {
            continue;
        }
        const double even = 1 / static_cast<double>(m_instances);
        const double own = s.asked.per_second(now);
        const double of_demand =
            n.fleet_rate > 0 ? std::min(1.0, own / n.fleet_rate) : even;
        const double share = even_part * even + (1 - even_part) * of_demand;
        s.share = s.share.value_or(even);
        *s.share += share_step * (share - *s.share);
    }
    update_mean_demand(now);
}

void gate::update_mean_demand(base::time_point now) {
    double sum = 0;
    std::size_t known = 0;
    for (const auto& [hash, s] : m_tenants) {
        if (has_demand(s, now)) {
            sum += s.fleet_rate / s.limit.per_second;
            ++known;
        }
    }
    m_mean_demand = known == 0 ? 0 : sum / static_cast<double>(known);
}

bool gate::has_demand(const tenant_state& s, base::time_point now) {
    return s.limit.per_second > 0 && s.fleet_rate > 0 &&
           now - s.named_at <= reported_after_request;
}

double gate::relative_demand(tenant_hash tenant, base::time_point now) const {
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end() || m_mean_demand <= 0 ||
        !has_demand(found->second, now)) {
        return 1;
    }
    const auto& s = found->second;
    return s.fleet_rate / s.limit.per_second / m_mean_demand;
}

} // namespace pollenreel::quota
