#include "pollenreel/share/holder.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>

namespace pollenreel::share {

namespace {

bool due(const std::optional<base::time_point>& last, base::duration period,
         base::time_point now) {
    return !last || now - *last >= period;
}

parts promise_in(const std::map<resource, parts>& promised, const resource& r) {
    const auto found = promised.find(r);
    return found == promised.end() ? parts{} : found->second;
}

} // namespace

holder::holder(base::region_id region, std::string key, claimant_id self,
               parts pool)
    : m_region(std::move(region)), m_key(std::move(key)),
      m_self(std::move(self)), m_pool(pool) {}

bool holder::holds(base::time_point now) const {
    return m_phase == phase::holding && !m_releasing && now < m_lease_until;
}

void holder::set_progress(std::map<base::shift_id, parts> progress) {
    m_progress = std::move(progress);
}

void holder::release() {
    m_releasing = true;
}

std::optional<store::request> holder::tick(base::time_point now,
                                           bool candidate) {
    if (m_call != call::none) {
        return std::nullopt;
    }
    if (m_check) {
        m_call = call::read;
        m_last_read = now;
        return store::read{m_key};
    }
    return m_phase == phase::holding ? renew(now) : watch(now, candidate);
}

std::optional<store::request> holder::renew(base::time_point now) {
    auto next = next_record(now);
    const bool urgent = m_releasing || next.promised != m_confirmed.promised ||
                        next.progress != m_confirmed.progress;
    const base::duration period =
        urgent ? base::duration(least_write_gap) : lease_renewal;
    if (!due(m_last_write, period, now)) {
        return std::nullopt;
    }
    return write(std::move(next), m_revision, now);
}

std::optional<store::request> holder::watch(base::time_point now,
                                            bool candidate) {
    if (!candidate || m_releasing) {
        return std::nullopt;
    }
    if (m_seen_any && lease_is_free(now) &&
        due(m_last_write, least_write_gap, now)) {
        m_taken_over = {};
        if (m_seen) {
            m_taken_over =
                decode_record(m_region, m_seen->value).value_or(lease_record{});
        }
        auto next = m_taken_over;
        ++next.epoch;
        next.holder = m_self;
        next.renewal = ++m_last_renewal;
        next.released = false;
        return write(std::move(next),
                     m_seen ? m_seen->modified : store::revision{}, now);
    }
    if (!due(m_last_read, lease_renewal, now)) {
        return std::nullopt;
    }
    m_call = call::read;
    m_last_read = now;
    return store::read{m_key};
}

lease_record holder::next_record(base::time_point now) {
    lease_record next = m_confirmed;
    next.renewal = m_last_renewal + 1;
    next.released = m_releasing;
    next.progress = m_progress;
    next.promised.clear();
    for (const auto& [what, l] : m_ledgers) {
        if (const auto p = l.desired_limit(now); p > parts{}) {
            next.promised[what] = p;
        }
    }
    return next;
}

store::request holder::write(lease_record r, store::revision expected,
                             base::time_point now) {
    m_call = call::write;
    m_last_write = now;
    m_last_renewal = r.renewal;
    if (!m_asked_since) {
        m_asked_since = now;
    }
    m_written = std::move(r);
    lower_limits(m_written.promised);
    return store::compare_and_swap{m_key, encode(m_written), expected};
}

void holder::on_reply(const store::reply& r, base::time_point now) {
    std::visit([&](const auto& one) { on(one, now); }, r);
    m_call = call::none;
}

void holder::on(const store::found& r, base::time_point now) {
    m_check = false;
    see(r.value, now);
}

void holder::on(const store::swapped& r, base::time_point now) {
    adopt(m_written, r.at, now);
    // No earlier write can take effect any more.
    m_limits = m_written.promised;
    lower_limits(m_limits);
    m_asked_since.reset();
}

void holder::on(const store::conflicting& r, base::time_point now) {
    see(r.current, now);
}

void holder::on(const store::unreachable&, base::time_point) {
    m_check = false;
}

void holder::on(const store::unanswered&, base::time_point) {
    m_check = true;
}

template <class Other>
void holder::on(const Other&, base::time_point) {
    m_check = true; // no answer to what was asked
}

void holder::see(const std::optional<store::entry>& e, base::time_point now) {
    const auto record = e ? decode_record(m_region, e->value) : std::nullopt;
    if (record && record->holder == m_self && !record->released) {
        return adopt(*record, e->modified, now);
    }
    const bool same = m_seen_any && m_seen.has_value() == e.has_value() &&
                      (!e || m_seen->modified == e->modified);
    if (!same) {
        m_seen_since = now;
    }
    m_seen = e;
    m_seen_any = true;
    m_phase = phase::watching;
    m_ledgers.clear();
    m_asked_since.reset();
    m_known_holder.reset();
    if (record) {
        m_known_holder = record->holder;
    }
}

bool holder::lease_is_free(base::time_point now) const {
    if (!m_seen) {
        return true;
    }
    const auto record = decode_record(m_region, m_seen->value);
    const bool given_up = !record || record->released;
    return given_up || now - m_seen_since > surely_over(lease_term);
}

void holder::adopt(const lease_record& r, store::revision at,
                   base::time_point now) {
    const bool new_epoch =
        m_phase != phase::holding || r.epoch != m_confirmed.epoch;
    const bool renewed = new_epoch || r.renewal > m_confirmed.renewal;
    if (new_epoch) {
        begin_epoch(now);
    }
    if (renewed && m_asked_since) {
        m_lease_until = *m_asked_since + lease_term;
    }
    m_confirmed = r;
    m_revision = at;
    m_phase = phase::holding;
    m_known_holder = m_self;
    if (r.released) {
        m_phase = phase::watching;
        m_seen_any = false;
        m_ledgers.clear();
    }
}

void holder::begin_epoch(base::time_point now) {
    m_ledgers.clear();
    m_limits = m_taken_over.promised;
    m_progress = m_taken_over.progress;
    const auto ended = now + surely_over(share_term) + settle_time;
    for (const auto& [what, promised] : m_taken_over.promised) {
        auto& l = m_ledgers.emplace(what, ledger(m_pool, promised, ended))
                      .first->second;
        l.set_limit(promised);
    }
}

void holder::lower_limits(const std::map<resource, parts>& promised) {
    for (auto& [what, l] : m_ledgers) {
        auto& limit = m_limits[what];
        limit = std::min(limit, promise_in(promised, what));
        l.set_limit(limit);
    }
}

ledger& holder::ledger_of(const resource& r) {
    return m_ledgers.try_emplace(r, m_pool).first->second;
}

std::optional<grant> holder::on_ask(const ask& a, base::time_point now) {
    if (!holds(now) || a.owner != m_region) {
        return std::nullopt;
    }
    grant g{a.claimant, m_region, m_confirmed.epoch,
            a.sequence, {},       m_confirmed.progress};
    for (const auto& item : a.items) {
        const ledger::claim claim{a.sequence, item.held, item.want,
                                  a.epoch < m_confirmed.epoch};
        const auto share = ledger_of(item.what).on_ask(a.claimant, claim, now);
        if (!share) {
            return std::nullopt;
        }
        g.items.push_back({item.what, *share});
    }
    return g;
}

} // namespace pollenreel::share
