// Simulates a region in virtual time in which many instances poll those that
// watch the store.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/fleet/relay_choice.hpp"
#include "pollenreel/fleet/relay_test_support.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::fleet::testing {

using namespace std::chrono_literals;

// The instances of a region and a store whose log the test writes. Messages
// have latency and, with the bandwidth of links, take time to send and to
// receive; instances, the store and the network fail as the test sets.
class simulated_region {
public:
    simulated_region(int instance_count, std::uint64_t seed,
                     std::chrono::milliseconds bound = departure_bound,
                     bool confirms_configuration = false)
        : simulated_region(
              std::vector<double>(static_cast<std::size_t>(instance_count), 0),
              seed, bound, confirms_configuration) {}
    // The links in Mbit/s, one for each instance; 0 takes no time.
    simulated_region(const std::vector<double>& links, std::uint64_t seed,
                     std::chrono::milliseconds bound = departure_bound,
                     bool confirms_configuration = false)
        : m_random(seed), m_bound(bound),
          m_confirms_configuration(confirms_configuration) {
        write("c");
        for (int i = 0; i < 5; ++i) {
            write("t/" + std::to_string(i));
        }
        for (std::size_t i = 0; i < links.size(); ++i) {
            auto self = make_instance("i-" + std::to_string(i), "a");
            self.link_mbps = links[i];
            m_members.push_back(
                std::make_unique<node>(self, bound, confirms_configuration));
            instances.push_back(m_members.back()->self);
            write("i/" + self.id.str(),
                  links[i] > 0 ? std::to_string(links[i]) : "");
        }
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            run(i, m_members[i]->follow.start(now_of(i)));
        }
    }

    void write(const std::string& key, const std::string& value = "") {
        m_log.push_back(written(key, ++m_revision, value));
        if (key == "c") {
            m_configurations.emplace_back(boot_now(), m_revision);
        }
    }
    void remove(const std::string& key) {
        m_log.push_back(removed(key, ++m_revision));
    }
    // Nothing comes any more on the connections that the watches have now.
    void silence_watches() {
        for (const auto& n : m_members) {
            n->watch_is_silent = n->open_watch.has_value();
        }
    }
    // Discards the history up to now.
    void compact() { compacted_revision = m_revision; }
    // From now on no watch reports anything, a new one neither.
    void mute_watches() { m_watches_muted = true; }
    // Ends that: discards the history and ends all watches.
    void compact_and_cut_watches() {
        m_watches_muted = false;
        compact();
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            auto& n = *m_members[i];
            if (!n.open_watch) {
                continue;
            }
            n.open_watch.reset();
            ++n.last_request;
            run(i, n.follow.on_watch_report(store::watch_closed{}, now_of(i)));
            answer_polls(i, true);
        }
    }
    void advance(std::chrono::milliseconds by) {
        const auto until = m_now + by;
        while (m_now < until) {
            m_now += 10ms;
            // Targets report periodically.
            if (m_random.below(20) == 0 && targets_report) {
                write("t/" + std::to_string(1 + m_random.below(4)));
            }
            step();
        }
    }
    // Index of the instance that the others poll, or of the one that they poll
    // when that one fails.
    [[nodiscard]] std::size_t watcher() const {
        return index_of(first_polled({}));
    }
    [[nodiscard]] std::size_t second_watcher() const {
        return index_of(first_polled({first_polled({}).watcher}));
    }
    [[nodiscard]] bool knows(std::size_t i, const std::string& target) const {
        const auto v = m_members[i]->known.build_view();
        return std::any_of(
            v->targets.begin(), v->targets.end(),
            [&](const auto& t) { return t.id == base::target_id(target); });
    }
    [[nodiscard]] bool knows_evacuation(std::size_t i) const {
        return !m_members[i]->known.build_view()->evacuated_domains.empty();
    }
    [[nodiscard]] std::int64_t configuration_known_by(std::size_t i) const {
        const auto v = m_members[i]->known.build_view();
        return static_cast<std::int64_t>(v->routes->source().version.value());
    }
    [[nodiscard]] std::int64_t newest_revision() const { return m_revision; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }

    std::vector<instance> instances;
    // Faults, by instance.
    std::set<std::size_t> dead;    // neither sends nor responds
    std::set<std::size_t> silent;  // does not respond to other instances
    std::set<std::size_t> cut_off; // from the store
    std::set<std::size_t> stalled; // their watches neither report nor end
    // Watches from this revision or earlier are reported as compacted.
    std::int64_t compacted_revision = 0;
    double loss_rate = 0;       // of messages between instances, 0 to 1
    bool targets_report = true; // of targets
    int store_calls = 0;
    int listings = 0; // of these
    // Of a call of the store, and of a body that has stopped coming.
    std::chrono::milliseconds call_timeout{1000};
    // A body that keeps coming is given up after so many of these.
    static constexpr int max_timeouts = 4;
    std::size_t relayed_bytes = 0; // values that instances sent each other
    std::chrono::milliseconds list_time{10}; // until a listing is answered
    // Responses to these instances come so much later.
    std::map<std::size_t, std::chrono::milliseconds> delays;
    // What an implementation might get wrong, to show that tests notice.
    enum class confirmation_fault {
        none,
        counted_from_reply,
        relay_age_ignored
    };
    confirmation_fault fault = confirmation_fault::none;

    // The machine's steady clock stands still until `resume`.
    void suspend(std::size_t i) { m_suspended_at[i] = m_now; }
    void resume(std::size_t i) {
        const auto since = m_suspended_at.find(i);
        if (since != m_suspended_at.end()) {
            m_members[i]->suspended += m_now - since->second;
            m_suspended_at.erase(since);
        }
    }
    // A new process that knows nothing.
    void restart(std::size_t i) {
        auto old = std::move(m_members[i]);
        m_members[i] = std::make_unique<node>(old->self, m_bound,
                                              m_confirms_configuration);
        m_members[i]->last_request = old->last_request + 1;
        m_members[i]->suspended = old->suspended;
        run(i, m_members[i]->follow.start(now_of(i)));
    }
    [[nodiscard]] base::boot_time boot_now() const {
        return boot_time_of(m_now);
    }
    [[nodiscard]] base::boot_time confirmed_at(std::size_t i) const {
        return m_members[i]->known.configuration_confirmed_at();
    }
    [[nodiscard]] bool knows_configuration(std::size_t i) const {
        return m_members[i]->known.is_complete();
    }
    // The newest configuration that was written by then.
    [[nodiscard]] std::int64_t configuration_at(base::boot_time t) const {
        std::int64_t newest = 0;
        for (const auto& [at, revision] : m_configurations) {
            newest = at <= t ? revision : newest;
        }
        return newest;
    }
    // The time that instance `i` takes for the time since its start if
    // suspensions go unnoticed.
    [[nodiscard]] base::boot_time steady_now(std::size_t i) const {
        return boot_time_of(now_of(i));
    }

private:
    struct node {
        node(instance i, std::chrono::milliseconds bound,
             bool confirms_configuration)
            : self(std::move(i)), known({}, {}),
              follow({"", self, bound, std::chrono::milliseconds(4500),
                      confirms_configuration},
                     decode, known,
                     [](const change&, effect, store::revision) {}) {}
        instance self;
        fleet_state known;
        follower follow;
        std::optional<follower::watch> open_watch; // as requested
        base::time_point watch_started_at{};
        base::time_point reported_at{};
        base::time_point next_return{};
        bool watch_is_silent = false; // nothing comes on its connection
        std::uint64_t last_request = 0;
        // When its link has sent, or received, what is under way.
        base::time_point sent_at{};
        base::time_point received_at{};
        base::duration suspended{};
        base::time_point renewed_at{};
    };
    // What a follower chooses.
    [[nodiscard]] relay_choice
    first_polled(const std::set<base::instance_id>& avoided) const {
        for (const auto& i : instances) {
            auto c = choose_relay(instances, i, avoided);
            if (!c.watcher.empty()) {
                return c;
            }
        }
        return {};
    }
    [[nodiscard]] std::size_t index_of(const relay_choice& c) const {
        return index_of(c.endpoint);
    }
    [[nodiscard]] std::size_t index_of(const base::endpoint& relay) const {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            if (m_members[i]->self.relay_endpoint == relay) {
                return i;
            }
        }
        return 0;
    }
    struct pending_poll {
        std::size_t relay;
        std::size_t requester;
        std::uint64_t number;
        relay_request request;
        base::time_point until;
        base::boot_time asked_at;
    };

    void schedule(std::chrono::milliseconds in, std::function<void()> what) {
        m_events.emplace(m_now + in, std::move(what));
    }
    static std::size_t
    encoded_size(const std::vector<store::key_change>& changes) {
        std::size_t bytes = 0;
        for (const auto& c : changes) {
            bytes += c.value ? c.value->value.size() : 0;
        }
        return bytes;
    }
    static std::size_t encoded_size(const relay_response& a) {
        auto bytes = encoded_size(a.changes);
        for (const auto& d : a.deltas) {
            bytes += size_of(d);
        }
        return bytes;
    }
    // Occupies a direction of a link for `bytes` and returns when it is free.
    base::time_point occupy(base::time_point& free_at, double mbps,
                            std::size_t bytes) const {
        if (mbps > 0) {
            const std::chrono::duration<double> takes(
                static_cast<double>(bytes) * 8 / (mbps * 1e6));
            free_at = std::max(m_now, free_at) +
                      std::chrono::duration_cast<base::duration>(takes);
        }
        return std::max(m_now, free_at);
    }
    // Time until `to` has received `bytes` from `from`, or from the store.
    std::chrono::milliseconds transfer_time(std::optional<std::size_t> from,
                                            std::size_t to, std::size_t bytes) {
        auto done = m_now;
        if (from) {
            relayed_bytes += bytes;
            auto& sender = *m_members[*from];
            done = occupy(sender.sent_at, sender.self.link_mbps, bytes);
        }
        auto& receiver = *m_members[to];
        done = std::max(
            done, occupy(receiver.received_at, receiver.self.link_mbps, bytes));
        return std::chrono::duration_cast<std::chrono::milliseconds>(done -
                                                                     m_now);
    }
    void run(std::size_t i, const follower::actions& actions) {
        for (const auto& a : actions) {
            std::visit([&](const auto& one) { begin(i, one); }, a);
        }
    }
    void begin(std::size_t i, const follower::list& l) {
        ++store_calls;
        ++listings;
        schedule(list_time, [this, i, l, asked_at = boot_now()] {
            if (dead.contains(i)) {
                return;
            }
            if (cut_off.contains(i)) {
                run(i, m_members[i]->follow.on_list_reply(store::unanswered{},
                                                          now_of(i)));
                return;
            }
            store::found_all all;
            all.asked_at = asked_at;
            all.at = {m_revision};
            std::map<std::string, store::entry> found;
            for (const auto& c : m_log) {
                if (!c.key.starts_with(l.prefix)) {
                    continue;
                }
                found.erase(c.key);
                if (c.value) {
                    found[c.key] = *c.value;
                }
            }
            for (const auto& [key, e] : found) {
                all.entries.push_back(e);
            }
            run(i, m_members[i]->follow.on_list_reply(all, now_of(i)));
            answer_polls(i, true);
        });
    }
    void begin(std::size_t i, const follower::watch& w) {
        ++m_members[i]->last_request;
        m_members[i]->open_watch = w;
        m_members[i]->watch_is_silent = false;
        m_members[i]->watch_started_at = m_now;
        m_members[i]->reported_at = m_now;
        m_members[i]->next_return = m_now + 10ms;
    }
    void begin(std::size_t i, const follower::poll& a) {
        auto& n = *m_members[i];
        n.open_watch.reset();
        const auto number = ++n.last_request;
        const auto to = index_of(a.endpoint);
        schedule(a.timeout, [this, i, number] {
            deliver_response(i, number, std::nullopt);
        });
        const auto asked_at = boot_now();
        if (m_random.unit() < loss_rate || dead.contains(to) ||
            silent.contains(to)) {
            return;
        }
        schedule(2ms, [this, to, i, number, a, asked_at] {
            auto request = a.request;
            request.received_at = boot_now();
            m_pending_polls.push_back(
                {to, i, number, request, m_now + request.max_wait, asked_at});
        });
    }
    void begin(std::size_t i, const follower::read& r) {
        ++store_calls;
        const auto last =
            std::find_if(m_log.rbegin(), m_log.rend(), [&](const auto& change) {
                return change.key == r.key;
            });
        store::reply reply = store::found{last->value, {m_revision}};
        auto takes =
            transfer_time(std::nullopt, i, encoded_size({*last}) * 4 / 3);
        if (takes > call_timeout * max_timeouts) {
            stop_receiving(i, call_timeout * max_timeouts);
            takes = call_timeout * max_timeouts;
            reply = store::unanswered{};
        }
        schedule(10ms + takes, [this, i, r, reply] {
            run(i, m_members[i]->follow.on_read_reply(r.key, reply, now_of(i)));
        });
    }
    // What instance `i` is receiving ends after this time.
    void stop_receiving(std::size_t i, std::chrono::milliseconds after) {
        auto& until = m_members[i]->received_at;
        until = std::min<base::time_point>(until, m_now + after);
    }
    void begin(std::size_t i, const follower::fetch& f) {
        const auto to = index_of(f.endpoint);
        auto answered = std::make_shared<bool>(false);
        const auto answer = [this, i, f, answered](const auto& v) {
            if (!std::exchange(*answered, true)) {
                run(i, m_members[i]->follow.on_fetch_response(f.request.key, v,
                                                              now_of(i)));
            }
        };
        if (m_random.unit() < loss_rate || dead.contains(to) ||
            silent.contains(to)) {
            schedule(f.timeout, [answer] { answer(std::nullopt); });
            return;
        }
        schedule(2ms, [this, to, i, f, answer] {
            const auto v = m_members[to]->follow.make_fetch_response(
                f.request, now_of(to));
            const auto takes = v ? transfer_time(to, i, size_of(*v))
                                 : std::chrono::milliseconds(0);
            const auto limit = f.timeout * max_timeouts;
            if (takes > limit) {
                stop_receiving(i, limit);
                schedule(limit, [answer] { answer(std::nullopt); });
            }
            schedule(2ms + takes, [answer, v] { answer(v); });
        });
    }
    void deliver_response(std::size_t i, std::uint64_t number,
                          const std::optional<relay_response>& a) {
        auto& n = *m_members[i];
        if (n.last_request == number && !dead.contains(i)) {
            ++n.last_request; // accept one response only
            run(i, n.follow.on_relay_response(a, now_of(i)));
        }
    }
    void answer_polls(std::size_t by, bool all) {
        auto waiting = std::exchange(m_pending_polls, {});
        for (const auto& h : waiting) {
            if (h.relay != by) {
                m_pending_polls.push_back(h);
                continue;
            }
            auto a = m_members[by]->follow.make_relay_response(
                h.request, !cut_off.contains(by), now_of(by));
            const bool news = a.status != relay_status::current ||
                              !a.changes.empty() || !a.deltas.empty() ||
                              !a.references.empty();
            if (!(all || news || m_now >= h.until)) {
                m_pending_polls.push_back(h);
            } else if (m_random.unit() >= loss_rate && !silent.contains(by)) {
                a.asked_at = h.asked_at;
                if (fault == confirmation_fault::relay_age_ignored) {
                    a.confirmed_after = std::chrono::milliseconds(0);
                }
                schedule(2ms + transfer_time(by, h.requester, encoded_size(a)) +
                             delay_of(h.requester),
                         [this, h, a] {
                             deliver_response(h.requester, h.number, a);
                         });
            }
        }
    }
    // When a call on a silent connection times out.
    [[nodiscard]] bool is_timed_out(const node& n) const {
        const auto wait =
            n.open_watch->request.max_report_interval.value_or(3000ms);
        return m_now >= n.reported_at + wait + call_timeout;
    }
    // Whether there is nothing to report and the watch may keep waiting.
    [[nodiscard]] bool is_idle(const node& n) const {
        const auto& w = n.open_watch->request;
        const auto interval = w.max_report_interval.value_or(3000ms);
        const auto wait = n.reported_at == n.watch_started_at
                              ? w.first_report_within.value_or(interval)
                              : interval;
        return w.from.value > m_revision && w.from.value > compacted_revision &&
               m_now < n.reported_at + wait;
    }
    void return_watch(std::size_t i) {
        auto& n = *m_members[i];
        const bool is_closed =
            cut_off.contains(i) || (n.watch_is_silent && is_timed_out(n));
        if (stalled.contains(i) || m_watches_muted ||
            ((n.watch_is_silent || is_idle(n)) && !is_closed)) {
            return;
        }
        ++store_calls;
        if (is_closed) {
            n.open_watch.reset();
            return run(
                i, n.follow.on_watch_report(store::watch_closed{}, now_of(i)));
        }
        const auto w = *n.open_watch;
        if (w.request.from.value <= compacted_revision) {
            n.open_watch.reset();
            return run(i, n.follow.on_watch_report(store::watch_compacted{},
                                                   now_of(i)));
        }
        store::watch_changed r;
        r.asked_at = boot_time_of(n.watch_started_at);
        for (const auto& c : m_log) {
            if (c.at >= w.request.from) {
                r.changes.push_back(c);
            }
        }
        n.open_watch->request.from = {m_revision + 1};
        n.reported_at = m_now;
        n.watch_started_at =
            r.changes.empty()
                ? m_now
                : std::max(m_now, n.watch_started_at + w.request.min_interval);
        n.next_return = n.watch_started_at;
        // The store sends values in base64, which takes four bytes for three.
        const auto takes =
            transfer_time(std::nullopt, i, encoded_size(r.changes) * 4 / 3) +
            delay_of(i);
        n.next_return = std::max(n.next_return, m_now + takes + 10ms);
        schedule(takes, [this, i, r, number = n.last_request]() mutable {
            if (m_members[i]->last_request == number && !dead.contains(i)) {
                if (fault == confirmation_fault::counted_from_reply) {
                    r.asked_at = boot_now();
                }
                run(i, m_members[i]->follow.on_watch_report(r, now_of(i)));
                answer_polls(i, true);
            }
        });
    }
    void step() {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto what = m_events.begin()->second;
            m_events.erase(m_events.begin());
            what();
        }
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            auto& n = *m_members[i];
            if (dead.contains(i)) {
                continue;
            }
            if (n.open_watch && m_now >= n.next_return) {
                return_watch(i);
            }
            // Renewals of leases see the store's return.
            if (n.follow.is_rejected() && !cut_off.contains(i) &&
                m_now >= n.renewed_at + 1200ms) {
                n.renewed_at = m_now;
                run(i, n.follow.on_store_regained(now_of(i)));
            }
            run(i, n.follow.tick(now_of(i)));
            answer_polls(i, false);
        }
    }

    [[nodiscard]] static base::boot_time boot_time_of(base::time_point t) {
        return base::boot_time(t.time_since_epoch());
    }
    [[nodiscard]] base::time_point now_of(std::size_t i) const {
        return m_now - m_members[i]->suspended;
    }
    [[nodiscard]] std::chrono::milliseconds delay_of(std::size_t i) const {
        const auto found = delays.find(i);
        return found == delays.end() ? std::chrono::milliseconds(0)
                                     : found->second;
    }

    base::random m_random;
    std::chrono::milliseconds m_bound;
    bool m_confirms_configuration;
    std::vector<std::pair<base::boot_time, std::int64_t>> m_configurations;
    std::map<std::size_t, base::time_point> m_suspended_at;
    base::time_point m_now = start_time;
    std::int64_t m_revision = 0;
    std::vector<store::key_change> m_log;
    std::vector<std::unique_ptr<node>> m_members;
    std::multimap<base::time_point, std::function<void()>> m_events;
    std::vector<pending_poll> m_pending_polls;
    bool m_watches_muted = false;
};

} // namespace pollenreel::fleet::testing
