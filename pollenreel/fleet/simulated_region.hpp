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
                     std::chrono::milliseconds bound = departure_bound)
        : simulated_region(
              std::vector<double>(static_cast<std::size_t>(instance_count), 0),
              seed, bound) {}
    // The links in Mbit/s, one for each instance; 0 takes no time.
    simulated_region(const std::vector<double>& links, std::uint64_t seed,
                     std::chrono::milliseconds bound = departure_bound)
        : m_random(seed) {
        write("c");
        for (int i = 0; i < 5; ++i) {
            write("t/" + std::to_string(i));
        }
        for (std::size_t i = 0; i < links.size(); ++i) {
            auto self = make_instance("i-" + std::to_string(i), "a");
            self.link_mbps = links[i];
            m_members.push_back(std::make_unique<node>(self, bound));
            instances.push_back(m_members.back()->self);
            write("i/" + self.id.str(),
                  links[i] > 0 ? std::to_string(links[i]) : "");
        }
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            run(i, m_members[i]->follow.start(m_now));
        }
    }

    void write(const std::string& key, const std::string& value = "") {
        m_log.push_back(written(key, ++m_revision, value));
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

private:
    struct node {
        node(instance i, std::chrono::milliseconds bound)
            : self(std::move(i)), known({}, {}),
              follow({"", self, bound}, decode, known,
                     [](const change&, effect) {}) {}
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
        schedule(10ms, [this, i, l] {
            store::found_all all;
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
            run(i, m_members[i]->follow.on_list_reply(all, m_now));
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
        if (m_random.unit() < loss_rate || dead.contains(to) ||
            silent.contains(to)) {
            return;
        }
        schedule(2ms, [this, to, i, number, a] {
            m_pending_polls.push_back(
                {to, i, number, a.request, m_now + a.request.max_wait});
        });
    }
    void begin(std::size_t i, const follower::read& r) {
        ++store_calls;
        const auto last =
            std::find_if(m_log.rbegin(), m_log.rend(), [&](const auto& change) {
                return change.key == r.key;
            });
        const store::found reply{last->value, {m_revision}};
        const auto takes =
            transfer_time(std::nullopt, i, encoded_size({*last}) * 4 / 3);
        schedule(10ms + takes, [this, i, r, reply] {
            run(i, m_members[i]->follow.on_read_reply(r.key, reply, m_now));
        });
    }
    void begin(std::size_t i, const follower::fetch& f) {
        const auto to = index_of(f.endpoint);
        auto answered = std::make_shared<bool>(false);
        const auto answer = [this, i, f, answered](const auto& c) {
            if (!std::exchange(*answered, true)) {
                run(i, m_members[i]->follow.on_fetch_response(f.key, c, m_now));
            }
        };
        schedule(f.timeout, [answer] { answer(std::nullopt); });
        if (m_random.unit() < loss_rate || dead.contains(to) ||
            silent.contains(to)) {
            return;
        }
        schedule(2ms, [this, to, i, f, answer] {
            const auto c =
                m_members[to]->follow.make_fetch_response(f.key, m_now);
            const auto takes = c ? transfer_time(to, i, encoded_size({*c}))
                                 : std::chrono::milliseconds(0);
            schedule(2ms + takes, [answer, c] { answer(c); });
        });
    }
    void deliver_response(std::size_t i, std::uint64_t number,
                          const std::optional<relay_response>& a) {
        auto& n = *m_members[i];
        if (n.last_request == number && !dead.contains(i)) {
            ++n.last_request; // accept one response only
            run(i, n.follow.on_relay_response(a, m_now));
        }
    }
    void answer_polls(std::size_t by, bool all) {
        auto waiting = std::exchange(m_pending_polls, {});
        for (const auto& h : waiting) {
            if (h.relay != by) {
                m_pending_polls.push_back(h);
                continue;
            }
            const auto a = m_members[by]->follow.make_relay_response(
                h.request, !cut_off.contains(by), m_now);
            const bool news = a.status != relay_status::current ||
                              !a.changes.empty() || !a.references.empty();
            if (!(all || news || m_now >= h.until)) {
                m_pending_polls.push_back(h);
            } else if (m_random.unit() >= loss_rate && !silent.contains(by)) {
                schedule(2ms + transfer_time(by, h.requester,
                                             encoded_size(a.changes)),
                         [this, h, a] {
                             deliver_response(h.requester, h.number, a);
                         });
            }
        }
    }
    // When a call on a silent connection times out.
    [[nodiscard]] bool is_timed_out(const node& n) const {
        constexpr std::chrono::milliseconds call_timeout{1000};
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
        if (stalled.contains(i) ||
            ((n.watch_is_silent || is_idle(n)) && !is_closed)) {
            return;
        }
        ++store_calls;
        if (is_closed) {
            n.open_watch.reset();
            return run(i,
                       n.follow.on_watch_report(store::watch_closed{}, m_now));
        }
        const auto w = *n.open_watch;
        if (w.request.from.value <= compacted_revision) {
            n.open_watch.reset();
            return run(
                i, n.follow.on_watch_report(store::watch_compacted{}, m_now));
        }
        store::watch_changed r;
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
            transfer_time(std::nullopt, i, encoded_size(r.changes) * 4 / 3);
        n.next_return = std::max(n.next_return, m_now + takes + 10ms);
        schedule(takes, [this, i, r, number = n.last_request] {
            if (m_members[i]->last_request == number && !dead.contains(i)) {
                run(i, m_members[i]->follow.on_watch_report(r, m_now));
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
            run(i, n.follow.tick(m_now));
            answer_polls(i, false);
        }
    }

    base::random m_random;
    base::time_point m_now = start_time;
    std::int64_t m_revision = 0;
    std::vector<store::key_change> m_log;
    std::vector<std::unique_ptr<node>> m_members;
    std::multimap<base::time_point, std::function<void()>> m_events;
    std::vector<pending_poll> m_pending_polls;
};

} // namespace pollenreel::fleet::testing
