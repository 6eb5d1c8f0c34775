#include "pollenreel/fleet/follower.hpp"

#include <algorithm>

namespace pollenreel::fleet {

namespace {

using std::chrono::milliseconds;

// Parts of the bound, in percent. Between two returns of a watch that serves
// this instance only; the rest is for the call, its way and one lost packet.
// A longer interval costs fewer calls.
constexpr int direct_watch_percent = 70;
// Between two returns of a watch that others rely on, and for how long beyond
// it they wait for the relay: after both they still have to ask the store.
constexpr int relay_watch_percent = 45;
constexpr int relay_timeout_percent = 30;

// Between two tries of a watch: the renewals of the instance's lease, at a
// tenth of the price, see the store's return sooner.
constexpr milliseconds max_watch_retry_delay{4000};

// Whether a change says something new to those who know what was before it.
bool is_news(const change& c, effect e) {
    if (e == effect::changed || e == effect::deferred) {
        return true;
    }
    // How long a target stays cold is told anew each time.
    const auto* t = std::get_if<target_written>(&c);
    return t != nullptr && t->report.cold_for > milliseconds::zero();
}

} // namespace

follower::follower(follower_options o, decoder d, fleet_state& state,
                   observer on_change)
    : m_options(std::move(o)), m_decoder(std::move(d)), m_state(state),
      m_observer(std::move(on_change)) {}

follower::actions follower::start(base::time_point) {
    m_retry_at.reset();
    m_open_watch_interval.reset();
    m_polling_relay = false;
    m_listing = true;
    m_state.begin_listing();
    return {list{m_options.prefix}};
}

milliseconds follower::watch_interval() const {
    const int percent = m_relay.role == relay_role::watcher
                            ? relay_watch_percent
                            : direct_watch_percent;
    return m_options.departure_bound * percent / 100;
}

follower::actions follower::follow(base::time_point now) {
    m_relay = choose_relay(m_state.instances(), m_options.self);
    const bool use_relay = m_relay.role == relay_role::follower &&
                           now >= m_relay_retry_at &&
                           !m_state.is_restoring(now);
    return use_relay ? poll_relay() : watch_store();
}

follower::actions follower::watch_store() {
    m_polling_relay = false;
    m_open_watch_interval = watch_interval();
    store::watch w{m_options.prefix,
                   true,
                   {m_seen_revision.value + 1},
                   *m_open_watch_interval,
                   {}};
    if (m_relay.role == relay_role::watcher) {
        // Others take a watcher that is quiet for one that hears nothing.
        w.longest_quiet = *m_open_watch_interval;
    }
    return {watch{std::move(w)}};
}

follower::actions follower::poll_relay() {
    m_open_watch_interval.reset();
    m_polling_relay = true;
    const auto until = [&](int percent) {
        return m_options.departure_bound * (relay_watch_percent + percent) /
               100;
    };
    return {poll{m_relay.endpoint,
                 {m_seen_revision, until(relay_timeout_percent / 2)},
                 until(relay_timeout_percent)}};
}

follower::actions follower::on_list_reply(const store::reply& r,
                                          base::time_point now) {
    if (!m_listing) {
        return {};
    }
    const auto* all = std::get_if<store::found_all>(&r);
    if (all == nullptr) {
        m_state.on_contact_lost(now);
        m_listing = false;
        m_retry_at = now + m_backoff.next_delay();
        return {};
    }
    m_state.on_contact(now);
    m_backoff.reset();
    // Compared with what was known, a later listing shows what was missed, and
    // the journal goes on.
    const bool is_first_listing = m_seen_revision.value == 0;
    auto newest = all->at;
    for (const auto& e : all->entries) {
        const store::key_change c{e.key, e.modified, e};
        apply(c, now);
        // It may have gone and come back, which others may have seen in part.
        if (!is_first_listing && e.modified > m_seen_revision) {
            m_journal.add(c);
        }
        newest = std::max(newest, e.modified);
    }
    m_listing = false;
    m_seen_revision = all->at;
    if (is_first_listing) {
        m_journal.reset(newest);
    } else {
        journal_removed_keys(*all);
    }
    for (const auto& [c, e] : m_state.end_listing(now)) {
        m_observer(c, e);
    }
    return follow(now);
}

void follower::journal_removed_keys(const store::found_all& listed) {
    std::set<std::string> present;
    for (const auto& e : listed.entries) {
        present.insert(e.key);
    }
    for (const auto& key : m_existing_keys) {
        if (!present.contains(key)) {
            m_journal.add({key, listed.at, std::nullopt});
        }
    }
    m_existing_keys = std::move(present);
}

void follower::apply(const store::key_change& c, base::time_point now) {
    const auto decoded = m_decoder(c);
    const auto done = m_state.apply(decoded, now);
    if (c.value) {
        m_existing_keys.insert(c.key);
    } else {
        m_existing_keys.erase(c.key);
    }
    // What a relay tells has mattered to it.
    if (m_polling_relay || is_news(decoded, done)) {
        m_journal.add(c);
    }
    m_observer(decoded, done);
}

void follower::apply(const std::vector<store::key_change>& all,
                     base::time_point now) {
    for (const auto& c : all) {
        if (c.at > m_seen_revision) {
            apply(c, now);
        }
    }
    for (const auto& c : all) {
        m_seen_revision = std::max(m_seen_revision, c.at);
    }
}

follower::actions follower::on_watch_report(const store::watch_report& r,
                                            base::time_point now) {
    if (m_listing || !m_open_watch_interval) {
        return {};
    }
    return std::visit([&](const auto& one) { return on_report(one, now); }, r);
}

follower::actions follower::on_report(const store::watch_opened&,
                                      base::time_point) {
    return {};
}

follower::actions follower::on_report(const store::watch_changed& r,
                                      base::time_point now) {
    m_state.on_contact(now);
    m_backoff.reset();
    apply(r.changes, now);
    const auto interval = *m_open_watch_interval;
    auto next = follow(now);
    // The open watch goes on by itself.
    return m_open_watch_interval == interval ? actions() : next;
}

follower::actions follower::on_report(const store::watch_compacted&,
                                      base::time_point now) {
    return start(now);
}

follower::actions follower::on_report(const store::watch_cut&,
                                      base::time_point now) {
    m_state.on_contact_lost(now);
    m_retry_at = now + m_backoff.next_delay(max_watch_retry_delay);
    return {};
}

follower::actions
follower::on_relay_response(const std::optional<relay_response>& a,
                            base::time_point now) {
    if (m_listing || !m_polling_relay) {
        return {};
    }
    const auto oldest = m_options.departure_bound *
                        (relay_watch_percent + relay_timeout_percent) / 100;
    if (!a || a->status != relay_status::current || a->age > oldest) {
        // Says nothing of the store: this instance may still reach it.
        m_relay_retry_at = now + m_options.relay_retry_delay;
        return watch_store();
    }
    m_state.on_contact(now - a->age);
    apply(a->changes, now);
    m_seen_revision = std::max(m_seen_revision, a->seen_revision);
    return follow(now);
}

relay_response follower::make_relay_response(store::revision known,
                                             bool is_store_reachable,
                                             base::time_point now) const {
    // While it lists anew it will soon know what was missed.
    const bool is_relisting = m_listing && m_seen_revision.value > 0;
    if (!(m_open_watch_interval || is_relisting) || m_retry_at ||
        !is_store_reachable || m_state.is_restoring(now)) {
        return {};
    }
    // A listing's later pages may hold changes after the revision up to which
    // all are known; they are told with those that lie between.
    auto missed = m_journal.changes_between(known, m_seen_revision);
    if (!missed) {
        return {relay_status::behind, m_seen_revision, {}, {}};
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - m_state.last_contact_at());
    return {relay_status::current, m_seen_revision, age, std::move(*missed)};
}

follower::actions follower::on_store_regained(base::time_point now) {
    if (m_listing || m_polling_relay || m_seen_revision.value == 0) {
        return {}; // needs no watch, or has one coming with the next tick
    }
    m_retry_at.reset();
    m_backoff.reset();
    m_state.on_contact(now);
    return watch_store();
}

follower::actions follower::tick(base::time_point now) {
    if (!m_retry_at || now < *m_retry_at) {
        return {};
    }
    m_retry_at.reset();
    return m_seen_revision.value == 0 ? start(now) : watch_store();
}

} // namespace pollenreel::fleet
