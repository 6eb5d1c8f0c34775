#include "pollenreel/fleet/follower.hpp"

#include <algorithm>

namespace pollenreel::fleet {

follower::follower(follower_options o, decoder d, beliefs& b, observer told)
    : m_options(std::move(o)), m_decode(std::move(d)), m_beliefs(b),
      m_told(std::move(told)) {}

follower::actions follower::start(base::time_point now) {
    m_retry_at.reset();
    m_listed_at = {};
    m_listing = 0;
    m_beliefs.begin_listing();
    return list_next(now);
}

follower::actions follower::list_next(base::time_point now) {
    if (*m_listing < m_options.prefixes.size()) {
        return {list{m_options.prefixes[*m_listing]}};
    }
    m_listing.reset();
    m_seen = m_listed_at;
    for (const auto& [c, e] : m_beliefs.end_listing(now)) {
        m_told(c, e);
    }
    return follow();
}

follower::actions follower::follow() {
    return {watch{{m_options.watched,
                   true,
                   {m_seen.value + 1},
                   m_options.watch_interval}}};
}

follower::actions follower::on_listed(const store::reply& r,
                                      base::time_point now) {
    if (!m_listing) {
        return {};
    }
    const auto* all = std::get_if<store::found_all>(&r);
    if (all == nullptr) {
        m_beliefs.contact_lost(now);
        m_listing.reset();
        m_retry_at = now + m_options.retry_delay;
        return {};
    }
    m_beliefs.contact(now);
    for (const auto& e : all->entries) {
        apply({e.key, e.modified, e}, now);
    }
    if (*m_listing == 0) {
        m_listed_at = all->at;
    }
    ++*m_listing;
    return list_next(now);
}

void follower::apply(const store::key_change& c, base::time_point now) {
    const auto decoded = m_decode(c);
    m_told(decoded, m_beliefs.apply(decoded, now));
}

follower::actions follower::on_watch(const store::watch_report& r,
                                     base::time_point now) {
    if (m_listing) {
        return {};
    }
    return std::visit([&](const auto& one) { return on(one, now); }, r);
}

follower::actions follower::on(const store::watch_opened&, base::time_point) {
    return {};
}

follower::actions follower::on(const store::watch_changed& r,
                               base::time_point now) {
    m_beliefs.contact(now);
    for (const auto& c : r.changes) {
        if (c.at > m_seen) {
            apply(c, now);
        }
    }
    for (const auto& c : r.changes) {
        m_seen = std::max(m_seen, c.at);
    }
    return {};
}

follower::actions follower::on(const store::watch_compacted&,
                               base::time_point now) {
    return start(now);
}

follower::actions follower::on(const store::watch_cut&, base::time_point now) {
    m_beliefs.contact_lost(now);
    m_retry_at = now + m_options.retry_delay;
    return {};
}

follower::actions follower::on_store_regained(base::time_point now) {
    if (m_listing || m_seen.value == 0) {
        return {}; // a listing is under way, or comes with the next tick
    }
    m_retry_at.reset();
    m_beliefs.contact(now);
    return follow();
}

follower::actions follower::tick(base::time_point now) {
    if (!m_retry_at || now < *m_retry_at) {
        return {};
    }
    m_retry_at.reset();
    return m_seen.value == 0 ? start(now) : follow();
}

} // namespace pollenreel::fleet
