#include "pollenreel/entry/quota_ledger.hpp"

#include <set>
#include <vector>

namespace pollenreel::entry {

namespace {

// Small tenants near their limit are limited for moments, several times a
// second.
constexpr std::chrono::seconds min_note_interval{5};

} // namespace

void quota_ledger::on_view(const fleet::view& v) {
    const auto& l = m_settings.limits;
    if (l.quota_window.count() == 0 || !v.routes ||
        !v.routes->source().tenants) {
        m_is_on = false;
        m_routes.reset();
        m_tenants.clear();
        return;
    }
    if (!m_ledger) {
        // The exchange names the run in what it sends.
        m_ledger.emplace(0, m_settings.region);
    }
    m_is_on = true;
    if (m_routes != v.routes) {
        m_ledger->on_tenants(*v.routes->source().tenants, m_clock.now());
        update_tenants(*v.routes->source().tenants);
        m_routes = v.routes;
    }
    std::set<base::region_id> regions;
    for (const auto& i : v.instances) {
        regions.insert(i.region);
    }
    m_ledger->on_regions({regions.begin(), regions.end()});
}

void quota_ledger::update_tenants(const std::vector<routes::tenant>& tenants) {
    // With the first configuration all limits are new.
    const bool is_first = m_tenants.empty();
    std::map<quota::tenant_hash, tenant_state> now;
    for (const auto& t : tenants) {
        if (t.requests_per_s <= 0) {
            continue;
        }
        const auto hash = quota::hash_of(t.name);
        const quota::tenant_limit limit{t.requests_per_s, t.burst};
        const auto known = m_tenants.find(hash);
        const bool is_known = known != m_tenants.end();
        if (!is_first && (!is_known || known->second.limit != limit)) {
            m_log.info("tenant_limit_changed",
                       {{"tenant", t.name},
                        {"per_second", limit.per_second},
                        {"burst", limit.burst}});
        }
        now[hash] = {t.name, limit, is_known && known->second.is_limited};
    }
    m_tenants = std::move(now);
}

void quota_ledger::note_limited(const quota::usage_news& news,
                                base::time_point now) {
    for (const auto& n : news.tenants) {
        const auto found = m_tenants.find(n.tenant);
        const bool is_limited = n.admit_fraction < 1;
        if (found == m_tenants.end() ||
            found->second.is_limited == is_limited ||
            now - found->second.noted_at < min_note_interval) {
            continue;
        }
        found->second.is_limited = is_limited;
        found->second.noted_at = now;
        m_log.info(is_limited ? "tenant_limited" : "tenant_not_limited",
                   {{"tenant", found->second.name},
                    {"asked_per_second", n.fleet_rate},
                    {"per_second", found->second.limit.per_second},
                    {"admitted_fraction", n.admit_fraction}});
    }
}

ledger_hooks quota_ledger::hooks() {
    return {
        [this](const quota::usage_report& r) {
            if (!m_is_on) {
                return quota::usage_news{};
            }
            const auto now = m_clock.now();
            m_ledger->on_report(r, now);
            auto news = m_ledger->news_for(r, now);
            note_limited(news, now);
            return news;
        },
        [this] { return m_is_on ? m_ledger->sums() : quota::region_sums{}; },
        [this](const quota::region_sums& s) {
            if (m_is_on) {
                m_ledger->on_peer_sums(s, m_clock.now());
            }
        }};
}

} // namespace pollenreel::entry
