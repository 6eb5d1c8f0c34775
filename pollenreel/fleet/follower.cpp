#include "pollenreel/fleet/follower.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace pollenreel::fleet {

namespace {

using std::chrono::milliseconds;

// The percentages are of the departure bound.

// Interval of a watch that serves this instance only. The rest of the bound
// covers the call, network latency and one lost packet; a longer interval
// causes fewer calls.
constexpr int direct_watch_percent = 70;
// Interval of a watch that serves other instances too.
constexpr int relay_watch_percent = 45;
// How old the state may grow before an instance leaves the first relay for the
// second, and the second for the next ones.
constexpr int first_relay_percent = 60;
constexpr int second_relay_percent = 75;
// Standbys watch the store before the followers poll them.
constexpr int standby_second_relay_percent = 70;
// A follower that no relay serves watches the store itself from the age at
// which it leaves the first one. If relays answered that they lost the store,
// it most likely is out of everyone's reach, or overloaded: then only the
// followers of the lowest ranks watch it, from a greater age, and twice as many
// each time that the age grows by so much.
constexpr int follower_watch_percent = 90;
constexpr int follower_stagger_percent = 25;
// The least time-out of a poll. A standby does not send one that could wait for
// less, a follower lets it wait longer.
constexpr int min_poll_percent = 15;
constexpr int min_standby_poll_percent = 5;
// An answer that the store is out of reach is taken as current for so long.
constexpr int store_lost_percent = 40;
// A relay that answered so is polled again after this.
constexpr int relay_pause_percent = 15;
// Pause between two polls after all relays failed.
constexpr int repoll_percent = 5;
// Part of a poll's time-out that is left for the response to arrive.
constexpr int relay_response_percent = 10;
// Time in which a relay's link must be able to send the large values of one
// report. Followers beyond that read the store.
constexpr int relay_send_percent = 15;
// How long a follower waits for a value, or for more of it, before it turns to
// the next relay.
constexpr int fetch_timeout_percent = 25;
// A poll has room for so many. Only the configuration is known to be large.
constexpr std::size_t max_held = 8;

// A report that is overdue by this much is asked for anew. Open connections may
// go silent while new ones work; waiting for the time-out of the call as well
// would leave the state unconfirmed for as long as an outage that ends leases.
constexpr milliseconds max_report_delay{500};

// Watches may be retried rarely: lease renewals, which cost a tenth of a watch,
// detect the store's return sooner.
constexpr milliseconds max_watch_retry_delay{4000};

send_budget make_relay_budget(const follower_options& o) {
    constexpr double bytes_per_megabit = 125'000;
    const auto percent = [&](int p) { return o.departure_bound * p / 100; };
    return {o.self.link_mbps * bytes_per_megabit, percent(relay_send_percent),
            percent(relay_watch_percent)};
}

// Whether instances that know the previous state need this change.
bool is_news(const change& c, effect e) {
    if (e == effect::changed || e == effect::deferred) {
        return true;
    }
    // Polling instances may run a version of the program that can decode it.
    if (std::holds_alternative<unreadable>(c)) {
        return true;
    }
    // Each report of a cold target updates how long it stays cold.
    const auto* t = std::get_if<target_written>(&c);
    return t != nullptr && t->report.cold_for > milliseconds::zero();
}

} // namespace

std::string_view to_string(change_source s) {
    switch (s) {
    case change_source::listing:
        return "listing";
    case change_source::store_watch:
        return "store_watch";
    case change_source::relay:
        break;
    }
    return "relay";
}

follower::follower(follower_options o, decoder d, fleet_state& state,
                   observer on_change)
    : m_options(std::move(o)), m_decoder(std::move(d)), m_state(state),
      m_observer(std::move(on_change)),
      m_relay_budget(make_relay_budget(m_options)) {}

change_source follower::source() const {
    if (m_listing) {
        return change_source::listing;
    }
    return m_polling_relay ? change_source::relay : change_source::store_watch;
}

follower::actions follower::start(base::time_point) {
    m_retry_at.reset();
    m_repoll_at.reset();
    m_open_watch_interval.reset();
    m_polling_relay = false;
    m_listing = true;
    m_unread.clear();
    m_complete_at = {}; // may have been waiting for what was unread
    m_read_retry_at.reset();
    m_state.begin_listing();
    return {list{m_options.prefix}};
}

milliseconds follower::watch_interval() const {
    const int percent = m_relay.role == relay_role::watcher ||
                                m_relay.role == relay_role::standby
                            ? relay_watch_percent
                            : direct_watch_percent;
    return m_options.departure_bound * percent / 100;
}

std::set<base::instance_id> follower::avoided_relays(base::time_point now) {
    std::erase_if(m_avoided_until,
                  [&](const auto& one) { return now >= one.second; });
    std::set<base::instance_id> avoided;
    for (const auto& [id, until] : m_avoided_until) {
        avoided.insert(id);
    }
    return avoided;
}

relay_choice follower::choose_relay_now(base::time_point now) {
    return choose_relay(m_state.instances(), m_options.self,
                        avoided_relays(now), m_is_rejected);
}

follower::actions follower::follow(base::time_point now) {
    m_report_due_at.reset();
    m_repoll_at.reset();
    m_relay = choose_relay_now(now);
    while (!m_relay.watcher.empty()) {
        if (auto next = make_poll(now)) {
            m_open_watch_interval.reset();
            m_polling_relay = true;
            return {std::move(*next)};
        }
        avoid_relay(now, m_options.relay_retry_delay);
        m_relay = choose_relay_now(now);
    }
    if (m_relay.role == relay_role::follower && !m_is_rejected &&
        !m_open_watch_interval && contact_age(now) < watch_age(now)) {
        m_polling_relay = false;
        m_repoll_at = now + percent_of_bound(repoll_percent);
        return {};
    }
    return watch_store(now);
}

milliseconds follower::percent_of_bound(int percent) const {
    return m_options.departure_bound * percent / 100;
}

milliseconds follower::contact_age(base::time_point now) const {
    return std::chrono::duration_cast<milliseconds>(now -
                                                    m_state.last_contact_at());
}

milliseconds follower::watch_age(base::time_point now) const {
    const bool is_store_lost =
        m_store_lost_by_relay_at &&
        now - *m_store_lost_by_relay_at < percent_of_bound(store_lost_percent);
    if (!is_store_lost) {
        return percent_of_bound(first_relay_percent);
    }
    const auto doublings = std::bit_width(m_relay.rank / relays_per_region) - 1;
    return percent_of_bound(follower_watch_percent +
                            follower_stagger_percent *
                                std::max(0, static_cast<int>(doublings)));
}

follower::actions follower::watch_store(base::time_point now) {
    m_polling_relay = false;
    m_report_due_at.reset();
    m_open_watch_interval = watch_interval();
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - m_state.last_contact_at());
    // With the maximum interval a quiet store can be told from a silent
    // connection, here and by polling instances.
    return {
        watch{{m_options.prefix,
               true,
               {m_seen_revision.value + 1},
               *m_open_watch_interval,
               *m_open_watch_interval,
               std::max(milliseconds::zero(), *m_open_watch_interval - age)}}};
}

std::optional<base::time_point>
follower::next_report_due(base::time_point now) const {
    if (!m_open_watch_interval) {
        return std::nullopt;
    }
    return now + *m_open_watch_interval;
}

milliseconds follower::max_contact_age() const {
    if (m_avoided_until.empty()) {
        return percent_of_bound(first_relay_percent);
    }
    if (m_relay.role == relay_role::standby) {
        return percent_of_bound(standby_second_relay_percent);
    }
    return percent_of_bound(m_avoided_until.size() < watchers_per_region
                                ? second_relay_percent
                                : follower_watch_percent);
}

std::optional<follower::poll> follower::make_poll(base::time_point now) const {
    // The state is already as old as the last contact, so only the rest of its
    // maximum age is left to wait.
    const auto age = contact_age(now);
    auto timeout = max_contact_age() - age;
    // A process that was suspended, or is rejected by the store, catches up
    // through a relay, however old its state is.
    const bool may_watch = !m_is_rejected && age < m_options.departure_bound;
    if (m_relay.role == relay_role::standby && may_watch) {
        if (timeout < percent_of_bound(min_standby_poll_percent)) {
            return std::nullopt;
        }
    } else {
        const bool is_late = age >= percent_of_bound(follower_watch_percent);
        if (may_watch && is_late && age >= watch_age(now)) {
            return std::nullopt;
        }
        timeout = std::max(timeout, percent_of_bound(min_poll_percent));
    }
    const auto reserve =
        std::min(percent_of_bound(relay_response_percent), timeout / 2);
    auto held = m_values.held();
    held.resize(std::min(held.size(), max_held));
    return poll{
        m_relay.endpoint,
        {m_seen_revision, timeout - reserve, true, true, std::move(held)},
        timeout};
}

void follower::avoid_relay(base::time_point now, milliseconds for_time) {
    m_avoided_until[m_relay.watcher] = now + for_time;
}

follower::actions follower::on_list_reply(const store::reply& r,
                                          base::time_point now) {
    if (!m_listing) {
        return {};
    }
    const auto* all = std::get_if<store::found_all>(&r);
    if (all == nullptr) {
        m_state.on_contact_lost();
        m_listing = false;
        m_retry_at = now + m_backoff.next_delay();
        return {};
    }
    m_state.on_contact(now);
    m_backoff.reset();
    // The difference between a later listing and the known state shows which
    // changes were missed, so the journal stays complete.
    const bool is_first_listing = m_seen_revision.value == 0;
    auto newest = all->at;
    for (const auto& e : all->entries) {
        const store::key_change c{e.key, e.modified, e};
        apply(c, now);
        // The key may have been removed and written again, of which polling
        // instances may have seen only the removal.
        if (!is_first_listing && e.modified > m_seen_revision) {
            add_to_journal(c);
        }
        newest = std::max(newest, e.modified);
    }
    m_listing = false;
    m_is_current = true;
    m_seen_revision = all->at;
    if (is_first_listing) {
        m_journal.reset(newest);
    } else {
        journal_removed_keys(*all);
    }
    for (const auto& [c, e] : m_state.end_listing(now)) {
        m_observer(c, e, all->at);
    }
    on_complete(all->asked_at);
    return follow(now);
}

void follower::journal_removed_keys(const store::found_all& listed) {
    std::map<std::string, store::revision> present;
    for (const auto& e : listed.entries) {
        present[e.key] = e.modified;
    }
    for (const auto& [key, at] : m_existing_keys) {
        if (!present.contains(key)) {
            m_journal.add({key, listed.at, std::nullopt});
        }
    }
    m_existing_keys = std::move(present);
}

void follower::apply(const store::key_change& c, base::time_point now,
                     const value_delta* received) {
    const auto unread = m_unread.find(c.key);
    if (unread != m_unread.end() && unread->second.at <= c.at) {
        m_unread.erase(unread);
    }
    const auto decoded = m_decoder(c);
    const auto done = m_state.apply(decoded, now);
    if (const auto* bad = std::get_if<unreadable>(&decoded)) {
        m_configuration_unreadable =
            m_configuration_unreadable || bad->is_configuration;
    } else if (std::holds_alternative<configuration_written>(decoded)) {
        m_configuration_unreadable = false;
    }
    if (c.value) {
        m_existing_keys[c.key] = c.at;
    } else {
        m_existing_keys.erase(c.key);
    }
    const bool is_polled = m_relay.role == relay_role::watcher ||
                           m_relay.role == relay_role::standby;
    m_values.put(c, is_polled, received);
    // A relay sends only changes that are news.
    if (m_polling_relay || is_news(decoded, done)) {
        add_to_journal(c);
    }
    m_observer(decoded, done, c.at);
}

void follower::add_to_journal(const store::key_change& c) {
    const auto* large = m_values.find(c.key);
    m_journal.add(
        large != nullptr && large->modified == c.at
            ? store::key_change{c.key, c.at, store::entry{c.key, "", c.at, {}}}
            : c);
}

void follower::apply(const std::vector<value_delta>& all,
                     base::time_point now) {
    for (const auto& d : all) {
        if (d.steps.empty() || d.steps.back().at <= m_seen_revision) {
            continue;
        }
        if (const auto c = m_values.apply(d)) {
            apply(*c, now, &d);
        } else {
            add_unread(d.key, d.steps.back().at);
        }
    }
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
    m_backoff.reset();
    if (!r.more) {
        m_is_current = true;
        m_state.on_contact(now);
    }
    apply(r.changes, now);
    m_is_rejected = false;
    if (r.more) {
        m_report_due_at = next_report_due(now);
        return {};
    }
    on_complete(r.asked_at);
    const auto interval = *m_open_watch_interval;
    auto next = follow(now);
    m_report_due_at = next_report_due(now);
    // The open watch continues unless its interval has to change.
    return m_open_watch_interval == interval ? actions() : next;
}

follower::actions follower::on_report(const store::watch_compacted&,
                                      base::time_point now) {
    return start(now);
}

follower::actions follower::on_report(const store::watch_closed&,
                                      base::time_point now) {
    m_state.on_contact_lost();
    const bool was_current = std::exchange(m_is_current, false);
    m_report_due_at.reset();
    if (was_current && !m_options.confirms_configuration) {
        // The store cuts watches as it discards its history.
        return watch_store(now);
    }
    m_retry_at = now + m_backoff.next_delay(max_watch_retry_delay);
    m_is_rejected = true;
    m_relay = choose_relay_now(now);
    if (m_relay.watcher.empty()) {
        return {};
    }
    if (auto next = make_poll(now)) {
        m_retry_at.reset();
        m_open_watch_interval.reset();
        m_polling_relay = true;
        return {std::move(*next)};
    }
    return {};
}

void follower::on_complete(base::boot_time at) {
    m_complete_at = std::max(m_complete_at, at);
    confirm_configuration();
}

void follower::confirm_configuration() {
    const bool is_outdated = !m_unread.empty() || m_configuration_unreadable;
    m_state.set_configuration_outdated(is_outdated);
    if (!is_outdated) {
        m_state.on_configuration_confirmed(m_complete_at);
    }
}

follower::actions
follower::on_relay_response(const std::optional<relay_response>& a,
                            base::time_point now) {
    if (m_listing || !m_polling_relay) {
        return {};
    }
    if (!a || a->status != relay_status::current ||
        a->age > max_contact_age()) {
        if (a && (a->status == relay_status::store_lost ||
                  a->status == relay_status::current)) {
            m_store_lost_by_relay_at = now;
        }
        // A standby keeps its watch for others that poll it.
        const bool is_brief = a && a->status != relay_status::behind &&
                              m_relay.role == relay_role::follower;
        avoid_relay(now, is_brief ? percent_of_bound(relay_pause_percent)
                                  : m_options.relay_retry_delay);
        return follow(now);
    }
    m_store_lost_by_relay_at.reset();
    m_is_current = true;
    m_state.on_contact(now - a->age);
    m_state.extend_restoring(a->restoring_for, now);
    apply(a->deltas, now);
    apply(a->changes, now);
    m_seen_revision = std::max(m_seen_revision, a->seen_revision);
    for (const auto& r : a->references) {
        add_unread(r.key, r.at);
    }
    if (a->confirmed_after) {
        on_complete(a->asked_at + *a->confirmed_after);
    } else {
        confirm_configuration();
    }
    auto requests = request_unread(now);
    auto next = follow(now);
    next.insert(next.end(), requests.begin(), requests.end());
    return next;
}

void follower::add_unread(const std::string& key, store::revision at) {
    // A fetch may have brought a newer value than was referenced.
    const auto known = m_existing_keys.find(key);
    if (known != m_existing_keys.end() && known->second >= at) {
        return;
    }
    auto& unread = m_unread[key];
    unread.at = std::max(unread.at, at);
}

follower::actions follower::request_value(const std::string& key,
                                          base::time_point now) {
    auto& unread = m_unread.at(key);
    if (std::exchange(unread.is_requested, true)) {
        return {};
    }
    auto avoided = avoided_relays(now);
    avoided.insert(unread.tried.begin(), unread.tried.end());
    constexpr bool as_follower = true; // whatever its role
    const auto relay =
        choose_relay(m_state.instances(), m_options.self, avoided, as_follower);
    unread.from = relay.watcher;
    if (relay.watcher.empty()) {
        return {read{key}};
    }
    const auto* known = m_values.find(key);
    return {fetch{
        relay.endpoint,
        {key, true, known != nullptr ? known->modified : store::revision{}},
        percent_of_bound(fetch_timeout_percent)}};
}

follower::actions follower::request_unread(base::time_point now) {
    actions all;
    for (const auto& [key, unread] : m_unread) {
        const auto one = request_value(key, now);
        all.insert(all.end(), one.begin(), one.end());
    }
    return all;
}

std::optional<store::key_change>
follower::to_change(const std::optional<relayed_value>& v) const {
    if (!v) {
        return std::nullopt;
    }
    const auto* d = std::get_if<value_delta>(&*v);
    return d != nullptr ? m_values.apply(*d) : std::get<store::key_change>(*v);
}

follower::actions
follower::on_fetch_response(const std::string& key,
                            const std::optional<relayed_value>& v,
                            base::time_point now) {
    const auto unread = m_unread.find(key);
    if (unread == m_unread.end()) {
        return {};
    }
    unread->second.is_requested = false;
    const auto c = to_change(v);
    const auto known = m_existing_keys.find(key);
    const bool is_progress =
        c && c->key == key &&
        (c->at >= unread->second.at ||
         (known != m_existing_keys.end() && c->at > known->second));
    if (!is_progress) {
        unread->second.tried.insert(unread->second.from);
        return request_value(key, now);
    }
    apply(*c, now, std::get_if<value_delta>(&*v));
    confirm_configuration();
    return m_unread.contains(key) ? request_value(key, now) : actions();
}

follower::actions follower::on_read_reply(const std::string& key,
                                          const store::reply& r,
                                          base::time_point now) {
    const auto unread = m_unread.find(key);
    if (unread == m_unread.end()) {
        return {};
    }
    const auto* found = std::get_if<store::found>(&r);
    if (found == nullptr ||
        (found->value && found->value->modified < unread->second.at)) {
        unread->second.is_requested = false;
        unread->second.tried.clear();
        if (!m_read_retry_at) {
            m_read_retry_at = now + m_read_backoff.next_delay();
        }
        return {};
    }
    m_read_backoff.reset();
    const auto at = found->value ? found->value->modified : unread->second.at;
    apply(store::key_change{key, at, found->value}, now);
    confirm_configuration();
    return {};
}

relay_response follower::make_relay_response(const relay_request& r,
                                             bool is_store_reachable,
                                             base::time_point now) {
    // A listing in progress will soon show what was missed.
    const bool is_relisting = m_listing && m_seen_revision.value > 0;
    if (!m_open_watch_interval && !is_relisting) {
        return {};
    }
    if (m_retry_at || !m_is_current || !is_store_reachable ||
        m_state.is_in_outage(now)) {
        return {relay_status::store_lost, {}, {}, {}};
    }
    if (!m_unread.empty() && !r.accepts_references) {
        return {};
    }
    // Later pages of a listing may contain changes after m_seen_revision. They
    // are held back until all changes before them are known.
    auto missed = m_journal.changes_between(r.known_revision, m_seen_revision);
    if (!missed) {
        return {relay_status::behind, m_seen_revision, {}, {}, {}};
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - m_state.last_contact_at());
    relay_response response{
        relay_status::current, m_seen_revision, age, {}, {}};
    // The origin of the clock is no time at which anything was confirmed, and
    // differs between machines.
    if (m_options.confirms_configuration &&
        m_state.configuration_confirmed_at() != base::boot_time{}) {
        // Rounds down: what is confirmed later is not claimed.
        response.confirmed_after = std::chrono::floor<milliseconds>(
            m_state.configuration_confirmed_at() - r.received_at);
    }
    response.restoring_for = m_state.restoring_for(now);
    for (auto& c : *missed) {
        if (!m_unread.contains(c.key)) {
            add_change(response, r, std::move(c));
        }
    }
    // The receiver finds the value elsewhere, if not here by then.
    for (const auto& [key, unread] : m_unread) {
        if (unread.at > r.known_revision) {
            response.references.push_back({key, unread.at});
        }
    }
    return response;
}

void follower::add_change(relay_response& to, const relay_request& r,
                          store::key_change c) {
    const auto* large = m_values.find(c.key);
    if (large == nullptr || large->modified != c.at) {
        to.changes.push_back(std::move(c));
        return;
    }
    if (!r.accepts_references) {
        to.changes.push_back({c.key, c.at, *large});
        return;
    }
    const auto held =
        std::find_if(r.held.begin(), r.held.end(),
                     [&](const auto& one) { return one.key == c.key; });
    if (held != r.held.end() && held->at == c.at) {
        return;
    }
    auto delta = r.accepts_deltas && held != r.held.end()
                     ? m_values.delta(c.key, held->at)
                     : std::nullopt;
    if (delta && size_of(*delta) <= max_inline_bytes) {
        to.deltas.push_back(std::move(*delta));
    } else {
        to.references.push_back({c.key, c.at});
    }
}

std::optional<relayed_value>
follower::make_fetch_response(const value_request& r, base::time_point now) {
    auto last = m_journal.last_change(r.key);
    if (!last || last->at > m_seen_revision) {
        return std::nullopt;
    }
    relayed_value value = *last;
    const auto* large = m_values.find(r.key);
    if (large != nullptr && large->modified == last->at) {
        value = r.accepts_delta ? relayed_value(*m_values.delta(r.key, r.held))
                                : store::key_change{r.key, last->at, *large};
    }
    return m_relay_budget.try_spend(size_of(value), now)
               ? std::optional(std::move(value))
               : std::nullopt;
}

void follower::on_watch_progress(base::time_point now) {
    if (m_report_due_at) {
        m_report_due_at = std::max(*m_report_due_at, now);
    }
}

follower::actions follower::on_store_regained(base::time_point now) {
    m_is_rejected = false;
    if (m_listing || m_polling_relay || m_seen_revision.value == 0) {
        return {}; // no watch is needed, or a listing comes first
    }
    m_retry_at.reset();
    m_backoff.reset();
    m_state.on_contact(now);
    m_is_current = false;
    m_open_watch_interval.reset();
    return follow(now);
}

follower::actions follower::tick(base::time_point now) {
    actions due;
    if (m_repoll_at && now >= *m_repoll_at) {
        m_repoll_at.reset();
        due = follow(now);
    }
    if (m_retry_at && now >= *m_retry_at) {
        m_retry_at.reset();
        due = m_seen_revision.value == 0 ? start(now) : follow(now);
    }
    if (m_report_due_at && now >= *m_report_due_at + max_report_delay &&
        !m_listing) {
        // Until the next report there is only this one attempt, so that a slow
        // store is not asked again and again.
        m_state.on_contact_lost();
        due = watch_store(now);
    }
    if (m_read_retry_at && now >= *m_read_retry_at) {
        m_read_retry_at.reset();
        // This instance may be cut off from the store, but not from a relay.
        const auto requests = request_unread(now);
        due.insert(due.end(), requests.begin(), requests.end());
    }
    return due;
}

} // namespace pollenreel::fleet
