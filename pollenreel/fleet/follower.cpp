#include "pollenreel/fleet/follower.hpp"

#include <algorithm>

namespace pollenreel::fleet {

namespace {

using std::chrono::milliseconds;

// Parts of the bound, in percent. Between two returns of a watch that serves
// this instance only; the rest is for the call, its way and one lost packet.
// A longer interval costs fewer calls.
constexpr int own_watch_percent = 70;
// Between two returns of a watch that others rely on, and for how long beyond
// it they wait for the relay: after both they still have to ask the store.
constexpr int relay_watch_percent = 45;
constexpr int relay_patience_percent = 30;

// Between two tries of a watch: the renewals of the instance's lease, at a
// tenth of the price, see the store's return sooner.
constexpr milliseconds longest_watch_pause{4000};

// Whether a change says something new to those who know what was before it.
bool matters(const change& c, effect e) {
    if (e == effect::changed || e == effect::deferred) {
        return true;
    }
    // How long a target stays cold is told anew each time.
    const auto* t = std::get_if<target_written>(&c);
    return t != nullptr && t->report.cold_for > milliseconds::zero();
}

} // namespace

follower::follower(follower_options o, decoder d, beliefs& b, observer told)
    : m_options(std::move(o)), m_decode(std::move(d)), m_beliefs(b),
      m_told(std::move(told)) {}

follower::actions follower::start(base::time_point) {
    m_retry_at.reset();
    m_watching.reset();
    m_asking = false;
    m_listing = true;
    m_beliefs.begin_listing();
    return {list{m_options.prefix}};
}

milliseconds follower::watch_interval() const {
    const int percent = m_relay.role == relay_role::watcher
                            ? relay_watch_percent
                            : own_watch_percent;
    return m_options.bound * percent / 100;
}

follower::actions follower::follow(base::time_point now) {
    m_relay = choose_relay(m_beliefs.instances(), m_options.self);
    const bool relayed = m_relay.role == relay_role::follower &&
                         now >= m_no_relay_until && !m_beliefs.restoring(now);
    return relayed ? ask_relay() : watch_store();
}

follower::actions follower::watch_store() {
    m_asking = false;
    m_watching = watch_interval();
    store::watch w{m_options.prefix, true, {m_seen.value + 1}, *m_watching, {}};
    if (m_relay.role == relay_role::watcher) {
        // Others take a watcher that is quiet for one that hears nothing.
        w.longest_quiet = *m_watching;
    }
    return {watch{std::move(w)}};
}

follower::actions follower::ask_relay() {
    m_watching.reset();
    m_asking = true;
    const auto until = [&](int percent) {
        return m_options.bound * (relay_watch_percent + percent) / 100;
    };
    return {ask{m_relay.at,
                {m_seen, until(relay_patience_percent / 2)},
                until(relay_patience_percent)}};
}

follower::actions follower::on_listed(const store::reply& r,
                                      base::time_point now) {
    if (!m_listing) {
        return {};
    }
    const auto* all = std::get_if<store::found_all>(&r);
    if (all == nullptr) {
        m_beliefs.contact_lost(now);
        m_listing = false;
        m_retry_at = now + m_backoff.next();
        return {};
    }
    m_beliefs.contact(now);
    m_backoff.reset();
    // Compared with what was known, a later listing shows what was missed, and
    // the journal goes on.
    const bool first = m_seen.value == 0;
    auto newest = all->at;
    for (const auto& e : all->entries) {
        const store::key_change c{e.key, e.modified, e};
        apply(c, now);
        // It may have gone and come back, which others may have seen in part.
        if (!first && e.modified > m_seen) {
            m_journal.add(c);
        }
        newest = std::max(newest, e.modified);
    }
    m_listing = false;
    m_seen = all->at;
    if (first) {
        m_journal.begin(newest);
    } else {
        journal_missing(*all);
    }
    for (const auto& [c, e] : m_beliefs.end_listing(now)) {
        m_told(c, e);
    }
    return follow(now);
}

void follower::journal_missing(const store::found_all& listed) {
    std::set<std::string> present;
    for (const auto& e : listed.entries) {
        present.insert(e.key);
    }
    for (const auto& key : m_keys) {
        if (!present.contains(key)) {
            m_journal.add({key, listed.at, std::nullopt});
        }
    }
    m_keys = std::move(present);
}

void follower::apply(const store::key_change& c, base::time_point now) {
    const auto decoded = m_decode(c);
    const auto done = m_beliefs.apply(decoded, now);
    if (c.value) {
        m_keys.insert(c.key);
    } else {
        m_keys.erase(c.key);
    }
    // What a relay tells has mattered to it.
    if (m_asking || matters(decoded, done)) {
        m_journal.add(c);
    }
    m_told(decoded, done);
}

void follower::apply(const std::vector<store::key_change>& all,
                     base::time_point now) {
    for (const auto& c : all) {
        if (c.at > m_seen) {
            apply(c, now);
        }
    }
    for (const auto& c : all) {
        m_seen = std::max(m_seen, c.at);
    }
}

follower::actions follower::on_watch(const store::watch_report& r,
                                     base::time_point now) {
    if (m_listing || !m_watching) {
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
    m_backoff.reset();
    apply(r.changes, now);
    const auto interval = *m_watching;
    auto next = follow(now);
    // The open watch goes on by itself.
    return m_watching == interval ? actions() : next;
}

follower::actions follower::on(const store::watch_compacted&,
                               base::time_point now) {
    return start(now);
}

follower::actions follower::on(const store::watch_cut&, base::time_point now) {
    m_beliefs.contact_lost(now);
    m_retry_at = now + m_backoff.next(longest_watch_pause);
    return {};
}

follower::actions follower::on_relayed(const std::optional<relay_answer>& a,
                                       base::time_point now) {
    if (m_listing || !m_asking) {
        return {};
    }
    const auto oldest =
        m_options.bound * (relay_watch_percent + relay_patience_percent) / 100;
    if (!a || a->status != relay_status::current || a->age > oldest) {
        // Says nothing of the store: this instance may still reach it.
        m_no_relay_until = now + m_options.relay_pause;
        return watch_store();
    }
    m_beliefs.contact(now - a->age);
    apply(a->changes, now);
    m_seen = std::max(m_seen, a->seen);
    return follow(now);
}

relay_answer follower::answer(store::revision known, bool store_reached,
                              base::time_point now) const {
    // While it lists anew it will soon know what was missed.
    const bool relists = m_listing && m_seen.value > 0;
    if (!(m_watching || relists) || m_retry_at || !store_reached ||
        m_beliefs.restoring(now)) {
        return {};
    }
    // A listing's later pages may hold changes after the revision up to which
    // all are known; they are told with those that lie between.
    auto missed = m_journal.between(known, m_seen);
    if (!missed) {
        return {relay_status::behind, m_seen, {}, {}};
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - m_beliefs.contact_at());
    return {relay_status::current, m_seen, age, std::move(*missed)};
}

follower::actions follower::on_store_regained(base::time_point now) {
    if (m_listing || m_asking || m_seen.value == 0) {
        return {}; // needs no watch, or has one coming with the next tick
    }
    m_retry_at.reset();
    m_backoff.reset();
    m_beliefs.contact(now);
    return watch_store();
}

follower::actions follower::tick(base::time_point now) {
    if (!m_retry_at || now < *m_retry_at) {
        return {};
    }
    m_retry_at.reset();
    return m_seen.value == 0 ? start(now) : watch_store();
}

} // namespace pollenreel::fleet
