#include "pollenreel/share/holder.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>

namespace pollenreel::share {

namespace {

bool is_due(const std::optional<base::time_point>& last, base::duration period,
            base::time_point now) {
    return !last || now - *last >= period;
}

ppm promised_share(const std::map<resource_id, ppm>& promised,
                   const resource_id& r) {
    const auto found = promised.find(r);
    return found == promised.end() ? ppm{} : found->second;
}

} // namespace

holder::holder(base::region_id region, std::string key, incarnation_id self,
               ppm pool)
    : m_region(std::move(region)), m_key(std::move(key)),
      m_self(std::move(self)), m_pool(pool) {}

bool holder::holds_lease(base::time_point now) const {
    return m_phase == phase::holding && !m_releasing && now < m_lease_until;
}

void holder::set_progress(std::map<base::shift_id, ppm> progress) {
    m_progress = std::move(progress);
}

void holder::release() {
    m_releasing = true;
}

std::optional<store::request> holder::tick(base::time_point now,
                                           bool candidate) {
    if (m_pending_call != store_call::none) {
        return std::nullopt;
    }
    if (m_write_in_doubt) {
        m_pending_call = store_call::read;
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
        urgent ? base::duration(min_write_interval) : lease_renewal_period;
    if (!is_due(m_last_write, period, now)) {
        return std::nullopt;
    }
    return write(std::move(next), m_revision, now);
}

std::optional<store::request> holder::watch(base::time_point now,
                                            bool candidate) {
    if (!candidate || m_releasing) {
        return std::nullopt;
    }
    if (m_has_observed && lease_is_free(now) &&
        is_due(m_last_write, min_write_interval, now)) {
        m_replaced = {};
        if (m_observed) {
            m_replaced = decode_record(m_region, m_observed->value)
                             .value_or(lease_record{});
        }
        auto next = m_replaced;
        ++next.epoch;
        next.holder = m_self;
        next.renewal = ++m_last_renewal;
        next.released = false;
        return write(std::move(next),
                     m_observed ? m_observed->modified : store::revision{},
                     now);
    }
    if (!is_due(m_last_read, lease_renewal_period, now)) {
        return std::nullopt;
    }
    m_pending_call = store_call::read;
    m_last_read = now;
    return store::read{m_key};
}

lease_record holder::next_record(base::time_point now) {
    lease_record next = m_confirmed;
    next.renewal = m_last_renewal + 1;
    next.released = m_releasing;
    next.progress = m_progress;
    next.promised.clear();
    for (const auto& [resource, l] : m_ledgers) {
        if (const auto p = l.desired_limit(now); p > ppm{}) {
            next.promised[resource] = p;
        }
    }
    return next;
}

store::request holder::write(lease_record record, store::revision expected,
                             base::time_point now) {
    m_pending_call = store_call::write;
    m_last_write = now;
    m_last_renewal = record.renewal;
    if (!m_unconfirmed_since) {
        m_unconfirmed_since = now;
    }
    m_last_written = std::move(record);
    lower_limits(m_last_written.promised);
    return store::compare_and_swap{m_key, encode(m_last_written), expected};
}

void holder::on_reply(const store::reply& r, base::time_point now) {
    std::visit([&](const auto& one) { on(one, now); }, r);
    m_pending_call = store_call::none;
}

void holder::on(const store::found& r, base::time_point now) {
    m_write_in_doubt = false;
    observe(r.value, now);
}

void holder::on(const store::swapped& r, base::time_point now) {
    confirm(m_last_written, r.at, now);
    // This write succeeded, so no earlier one can still take effect.
    m_limits = m_last_written.promised;
    lower_limits(m_limits);
    m_unconfirmed_since.reset();
}

void holder::on(const store::conflicting& r, base::time_point now) {
    observe(r.current, now);
}

void holder::on(const store::unreachable&, base::time_point) {
    m_write_in_doubt = false;
}

void holder::on(const store::unanswered&, base::time_point) {
    m_write_in_doubt = true;
}

template <class Other>
void holder::on(const Other&, base::time_point) {
    m_write_in_doubt = true; // the reply does not answer the call
}

void holder::observe(const std::optional<store::entry>& entry,
                     base::time_point now) {
    const auto record =
        entry ? decode_record(m_region, entry->value) : std::nullopt;
    if (record && record->holder == m_self && !record->released) {
        return confirm(*record, entry->modified, now);
    }
    const bool unchanged = m_has_observed &&
                           m_observed.has_value() == entry.has_value() &&
                           (!entry || m_observed->modified == entry->modified);
    if (!unchanged) {
        m_unchanged_since = now;
    }
    m_observed = entry;
    m_has_observed = true;
    m_phase = phase::watching;
    m_ledgers.clear();
    m_unconfirmed_since.reset();
    m_known_holder.reset();
    if (record) {
        m_known_holder = record->holder;
    }
}

bool holder::lease_is_free(base::time_point now) const {
    if (!m_observed) {
        return true;
    }
    const auto record = decode_record(m_region, m_observed->value);
    const bool released = !record || record->released;
    return released || now - m_unchanged_since > with_clock_drift(lease_term);
}

void holder::confirm(const lease_record& stored, store::revision at,
                     base::time_point now) {
    const bool new_epoch =
        m_phase != phase::holding || stored.epoch != m_confirmed.epoch;
    const bool renewed = new_epoch || stored.renewal > m_confirmed.renewal;
    if (new_epoch) {
        begin_epoch(now);
    }
    if (renewed && m_unconfirmed_since) {
        m_lease_until = *m_unconfirmed_since + lease_term;
    }
    m_confirmed = stored;
    m_revision = at;
    m_phase = phase::holding;
    m_known_holder = m_self;
    if (stored.released) {
        m_phase = phase::watching;
        m_has_observed = false;
        m_ledgers.clear();
    }
}

void holder::begin_epoch(base::time_point now) {
    m_ledgers.clear();
    m_limits = m_replaced.promised;
    m_progress = m_replaced.progress;
    const auto inherited_until =
        now + with_clock_drift(share_term) + share_grace_period;
    for (const auto& [resource, promised] : m_replaced.promised) {
        auto& l =
            m_ledgers
                .emplace(resource, ledger(m_pool, promised, inherited_until))
                .first->second;
        l.set_limit(promised);
    }
}

void holder::lower_limits(const std::map<resource_id, ppm>& promised) {
    for (auto& [resource, l] : m_ledgers) {
        auto& limit = m_limits[resource];
        limit = std::min(limit, promised_share(promised, resource));
        l.set_limit(limit);
    }
}

ledger& holder::ledger_of(const resource_id& r) {
    return m_ledgers.try_emplace(r, m_pool).first->second;
}

std::optional<grant> holder::on_request(const request& received,
                                        base::time_point now) {
    if (!holds_lease(now) || received.owner != m_region) {
        return std::nullopt;
    }
    grant answer{received.claimant, m_region, m_confirmed.epoch,
                 received.sequence, {},       m_confirmed.progress};
    for (const auto& item : received.items) {
        const ledger::claim claim{received.sequence, item.held, item.demand,
                                  received.epoch < m_confirmed.epoch};
        const auto share =
            ledger_of(item.resource).on_request(received.claimant, claim, now);
        if (!share) {
            return std::nullopt;
        }
        answer.items.push_back({item.resource, *share});
    }
    return answer;
}

} // namespace pollenreel::share
