#include "pollenreel/quota/ledger.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::quota {

namespace {

using namespace std::chrono_literals;

// Two reports of each instance, so that each has shown a rate.
constexpr auto warm_up = 1s;
// Two sums of each region, unless it is out of contact.
constexpr auto max_warm_up = 2500ms;
// What instances admit reaches the bucket about this much later.
constexpr double report_delay = 0.5;
// A region whose demand rises shows that of the others before they report it.
// The rise counts as far as it exceeds this many standard deviations.
constexpr double rise_deviations = 2;
// Demand is measured over about one report: longer delays the answer to a
// sudden rise, shorter makes that of small tenants a matter of chance.
constexpr std::chrono::milliseconds demand_memory{300};
// Credit is handed out over this time.
constexpr double credit_seconds = 1;
// An instance that has not reported for this long is forgotten.
constexpr auto instance_lifetime = 30s;
// A region's share of a quota is this part of an even one besides the rest of
// its part of the demand, so that a region without demand is not left without.
constexpr double even_part = 0.1;
constexpr std::chrono::milliseconds max_retry_after{5000};

} // namespace

ledger::demand::demand(base::time_point now)
    : recent(demand_memory, now), average(share_memory, now) {}

ledger::tenant_state::tenant_state(base::time_point now)
    : bucket(now), told_at(now) {}

void ledger::on_tenants(const std::vector<routes::tenant>& tenants,
                        base::time_point now) {
    std::set<tenant_hash> limited;
    for (const auto& t : tenants) {
        if (t.requests_per_s <= 0) {
            continue;
        }
        const auto hash = hash_of(t.name);
        limited.insert(hash);
        auto& s = m_tenants.try_emplace(hash, now).first->second;
        refill(s, now);
        s.limit = {t.requests_per_s, t.burst};
    }
    boost::unordered::erase_if(m_tenants, [&](const auto& one) {
        return !limited.contains(one.first);
    });
}

void ledger::count(source& from, const tenant_usage& u, bool known,
                   const base::region_id& region, base::time_point now) {
    const auto [found, added] = from.counts.try_emplace(u.tenant);
    auto& last = found->second;
    // A message that was overtaken by a later one holds nothing new.
    if (u.asked < last.asked) {
        return;
    }
    // The first counts of a source do not say when they were made. Those of a
    // tenant that has no limit at the moment are kept for when it has one.
    const auto tenant = m_tenants.find(u.tenant);
    if (!known || (added && !from.is_whole) || tenant == m_tenants.end()) {
        last = u;
        return;
    }
    auto& s = tenant->second;
    const auto asked = static_cast<double>(u.asked - last.asked);
    refill(s, now);
    // Negative after refunds. Sums may also fall below the first ones, and
    // wrap.
    const auto admitted = static_cast<std::int64_t>(u.admitted - last.admitted);
    s.bucket.spend(static_cast<double>(admitted));
    auto& d = s.demands.try_emplace(region, now).first->second;
    const auto spread = now - from.heard_at;
    d.recent.add(asked, now, spread);
    d.average.add(asked, now, spread);
    if (region == m_own) {
        auto& sums = m_sums[u.tenant];
        sums.tenant = u.tenant;
        sums.asked += u.asked - last.asked;
        sums.admitted += static_cast<std::uint64_t>(admitted);
    }
    last = u;
}

void ledger::restart(base::time_point now) {
    m_first_report = now;
    m_peers.clear();
    for (auto& [hash, s] : m_tenants) {
        s.demands.clear();
        s.bucket = credit(now);
    }
}

void ledger::on_report(const usage_report& r, base::time_point now) {
    if (!m_first_report || now - m_last_report > news_lifetime) {
        restart(now);
    }
    m_last_report = now;
    std::erase_if(m_instances, [&](const auto& one) {
        return now - one.second.heard_at > instance_lifetime;
    });
    const auto [found, added] = m_instances.try_emplace(r.instance);
    auto& from = found->second;
    const bool is_new = added || from.run != r.run;
    if (is_new) {
        from = source{r.run, now, now, false, {}};
    }
    // What was counted before the restart is not spent. A report that is not
    // whole leaves the counts of tenants that it does not name.
    const bool known = !is_new && from.heard_at >= *m_first_report;
    for (const auto& u : r.usage) {
        count(from, u, known, m_own, now);
    }
    from.is_whole = from.is_whole || r.whole;
    from.heard_at = now;
}

void ledger::on_peer_sums(const region_sums& r, base::time_point now) {
    auto& from = m_peers[r.region];
    // What a region admitted while it was not heard came from its share, which
    // the bucket did without meanwhile.
    const bool known = from.run == r.run && now - from.heard_at < news_lifetime;
    if (!known) {
        from = source{r.run, now, now, true, {}};
    }
    for (const auto& u : r.usage) {
        // A hub's first count of a tenant follows its first sums.
        count(from, u, known, r.region, now);
    }
    from.heard_at = now;
    update_shares(now);
}

void ledger::on_regions(const std::vector<base::region_id>& live) {
    m_others = {live.begin(), live.end()};
    m_others.erase(m_own);
    // Callers of a region that has left are asked for in others.
    const auto is_gone = [&](const auto& one) {
        return one.first != m_own && !m_others.contains(one.first);
    };
    std::erase_if(m_peers, is_gone);
    for (auto& [hash, s] : m_tenants) {
        std::erase_if(s.demands, is_gone);
        std::erase_if(s.shares, is_gone);
    }
}

bool ledger::is_warm(base::time_point now) const {
    if (!m_first_report || now - *m_first_report < warm_up) {
        return false;
    }
    return now - *m_first_report >= max_warm_up ||
           std::all_of(m_others.begin(), m_others.end(), [&](const auto& r) {
               const auto found = m_peers.find(r);
               return found != m_peers.end() &&
                      found->second.heard_at > found->second.since;
           });
}

bool ledger::is_heard(const base::region_id& region,
                      base::time_point now) const {
    const auto found = m_peers.find(region);
    return found != m_peers.end() &&
           now - found->second.heard_at < news_lifetime;
}

void ledger::update_shares(base::time_point now) {
    if (!std::all_of(m_others.begin(), m_others.end(),
                     [&](const auto& r) { return is_heard(r, now); })) {
        return;
    }
    const double even = 1 / static_cast<double>(m_others.size() + 1);
    for (auto& [hash, s] : m_tenants) {
        double all = 0;
        for (const auto& [region, d] : s.demands) {
            all += d.average.latest();
        }
        for (const auto& region : m_others) {
            const auto d = s.demands.find(region);
            const double own =
                d == s.demands.end() ? 0 : d->second.average.latest();
            s.shares[region] =
                all > 0 ? even_part * even + (1 - even_part) * own / all : even;
        }
    }
}

double ledger::rate_of(const tenant_state& s, base::time_point now) const {
    double part = 1;
    for (const auto& region : m_others) {
        if (!is_heard(region, now)) {
            const auto known = s.shares.find(region);
            part -= known == s.shares.end()
                        ? 1 / static_cast<double>(m_others.size() + 1)
                        : known->second;
        }
    }
    return s.limit.per_second * std::max(0.0, part);
}

void ledger::refill(tenant_state& s, base::time_point now) {
    const double rate = rate_of(s, now);
    const double part = s.limit.per_second > 0 ? rate / s.limit.per_second : 1;
    s.bucket.refill(rate, s.limit.burst * part, now);
}

double ledger::demand_of(const tenant_state& s, base::time_point now) const {
    const auto own = s.demands.find(m_own);
    if (own == s.demands.end()) {
        return 0;
    }
    const double recent = own->second.recent.per_second(now);
    const double sure =
        recent -
        rise_deviations * std::sqrt(recent / (2 * seconds(demand_memory)));
    const double usual = own->second.average.per_second(now);
    const double rise = usual > 0 ? std::max(1.0, sure / usual) : 1;
    double sum = recent;
    for (const auto& [region, d] : s.demands) {
        if (region != m_own && is_heard(region, now)) {
            sum += std::max(d.recent.latest(), rise * d.average.latest());
        }
    }
    return sum;
}

tenant_news ledger::news_of(tenant_hash hash, tenant_state& s,
                            base::time_point now) {
    refill(s, now);
    const double rate = rate_of(s, now);
    const double asked = demand_of(s, now);
    // What has been admitted and not been reported yet.
    const double kept = std::exp(-seconds(now - s.told_at) / report_delay);
    const double unreported =
        std::max(0.0, asked * s.told_fraction - rate) * report_delay;
    const double allowed =
        std::max(0.0, rate + (s.bucket.amount() - unreported) / credit_seconds);
    tenant_news n;
    n.tenant = hash;
    n.admit_fraction = asked > allowed ? allowed / asked : 1;
    s.told_fraction = s.told_fraction * kept + n.admit_fraction * (1 - kept);
    s.told_at = now;
    for (const auto& [region, d] : s.demands) {
        n.fleet_rate += d.average.latest();
    }
    if (s.bucket.amount() < 0 && rate > 0) {
        // Limited before the cast, which is undefined for large values.
        const std::chrono::duration<double> wait(-s.bucket.amount() / rate);
        n.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::min<std::chrono::duration<double>>(max_retry_after, wait));
    }
    return n;
}

usage_news ledger::news_for(const usage_report& r, base::time_point now) {
    usage_news news;
    if (!is_warm(now)) {
        return news;
    }
    news.is_complete = true;
    std::set<tenant_hash> asked;
    for (const auto& u : r.usage) {
        asked.insert(u.tenant);
    }
    for (auto& [hash, s] : m_tenants) {
        const auto n = news_of(hash, s, now);
        if (asked.contains(hash) || n.admit_fraction < 1) {
            news.tenants.push_back(n);
        }
    }
    return news;
}

region_sums ledger::sums() const {
    region_sums r{m_own, m_run, {}};
    for (const auto& [hash, sums] : m_sums) {
        r.usage.push_back(sums);
    }
    return r;
}

} // namespace pollenreel::quota
