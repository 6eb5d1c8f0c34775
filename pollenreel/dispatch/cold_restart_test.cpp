// Replays targets that restart under their old ids, against the cores of all
// instances. Guards against instances that together send more requests to a
// cold target than the stated bound, because their views do not tell of the
// restart yet.
#include "pollenreel/dispatch/cold_quota.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/dispatch/core_test_support.hpp"
#include "pollenreel/fleet/rendezvous.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace pollenreel;
using namespace std::chrono_literals;
using namespace pollenreel::dispatch;

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

constexpr std::size_t target_count = 24;
constexpr std::size_t restarted_count = 7; // the first ones
constexpr double requests_per_s = 14.0 * target_count;
constexpr std::size_t object_count = 100 * target_count;
constexpr milliseconds cold_time{3000};
constexpr double cold_rate = 5.8;
constexpr double cold_factor = 1.5;
constexpr double cold_slack = 8;
// Of a packet, between an instance and a target.
constexpr milliseconds latency{2};
constexpr seconds mean_work{0.2}; // 0.1 to 0.3 s
constexpr milliseconds connect_timeout{250};
// A connection is reused if it has not been idle for longer, as in
// request::connection_tracker with targets that close it after 10 s.
constexpr milliseconds idle_lifetime{6000};
// As in egress::target_pool: an attempt on a reused connection that got no
// response for so long ends the other connections that were idle since then.
constexpr milliseconds suspect_after{250};
// Views reach the instances up to this long after the store changed.
constexpr milliseconds longest_view_lag{1750};
// A distant target that restarts is met by instances that have heard nothing
// of the store for less than options::max_report_age.
constexpr milliseconds confirm_period{1000};
// As in fleet::fleet_state: a new instance knows the others after this time.
constexpr milliseconds restore_time{2000};
// The store removes a target after three heartbeats without one.
constexpr milliseconds removal_time{3000};
// A restarted target has its usual load again this long after its cold time.
constexpr milliseconds resume_time{500};
constexpr milliseconds load_window{2000};
// The requests of the first load window have arrived before the targets leave.
constexpr milliseconds settle_time{200};
// Fraction of the usual load; chance decides about a few of 200 requests.
constexpr double least_load = 0.95;
// A restart may cost three in 100 of what callers are served.
constexpr double least_served = 0.97;

enum class departure {
    ends, // connections are reset and new ones refused
    dark, // nothing is answered, not even by a reset
};
enum class store {
    tells,
    silent,
    half_silent, // every second instance is out of contact with it
};

struct row {
    const char* name;
    std::size_t instances;
    milliseconds absence;
    std::uint64_t seed;
    store views = store::tells;
    departure leaves = departure::ends;
    // The instances start shortly before the targets leave.
    bool just_started = false;
    // Instances and targets are in different regions.
    bool distant = false;
    double load = 1; // of the usual rate of requests
};

struct replay_result {
    // Requests to one process within a second while it was cold.
    std::size_t most_while_cold = 0;
    // From the time on at which the targets leave.
    std::size_t arrived = 0;
    std::size_t served = 0;
    // Requests whose first target restarts, and those of them that it got.
    struct load {
        std::size_t offered = 0;
        std::size_t got = 0;
    };
    load before;
    load after;
};

struct simulated_target {
    bool is_up = true;
    std::int64_t run = 1;
    base::time_point cold_until{};
    std::deque<base::time_point> got_while_cold; // in the last second
};

struct simulated_attempt {
    std::size_t instance = 0;
    base::attempt_id id;
    base::request_id request;
    std::size_t target = 0;
    base::time_point opened_at;
    std::int64_t run = 0;   // of the target, that accepted the connection
    bool is_reused = false; // the connection
    bool wants_check = false;
    bool sent = false;
    bool ended = false;
};
using attempt_ptr = std::shared_ptr<simulated_attempt>;

struct idle_connection {
    std::int64_t run = 0;
    base::time_point since;
};

std::string numbered(const char* prefix, std::size_t number) {
    return prefix + std::to_string(number);
}

// The target at which all instances prefer to place an object.
std::size_t first_target(const std::string& object) {
    std::size_t best = 0;
    for (std::size_t t = 1; t < target_count; ++t) {
        if (fleet::rendezvous_score(object, numbered("t-", t)) >
            fleet::rendezvous_score(object, numbered("t-", best))) {
            best = t;
        }
    }
    return best;
}

routes::route_table_ptr make_routes() {
    routes::configuration c;
    c.version = base::config_version(1);
    routes::route r;
    r.id = "r";
    r.host = "shop.example";
    r.path_prefix = "/";
    r.idempotent = true;
    r.timeout = 1200ms;
    r.target_latency = 600ms;
    r.max_attempts = 2;
    r.services = {{base::service_id("s"), 1}};
    r.sticky = true;
    c.routes.push_back(r);
    c.services.push_back(
        {base::service_id("s"), 1290, cold_time, cold_rate, "/health"});
    return std::make_shared<routes::route_table>(std::move(c));
}

fleet::view make_view(std::size_t instances, bool distant = false) {
    fleet::view v;
    v.routes = make_routes();
    for (std::size_t t = 0; t < target_count; ++t) {
        fleet::target one;
        one.id = base::target_id(numbered("t-", t));
        one.service = base::service_id("s");
        one.region = base::region_id(distant ? "erongo" : "khomas");
        one.slots = 9;
        one.incarnation = 1;
        v.targets.push_back(one);
    }
    for (std::size_t i = 0; i < instances; ++i) {
        fleet::instance one;
        one.id = base::instance_id(numbered("i-", i));
        v.instances.push_back(one);
    }
    return v;
}

options make_options(const base::instance_id& self, std::uint64_t seed) {
    auto o = testing::driver::make_options();
    o.seed = seed;
    o.self = self;
    o.limits.cold_factor = cold_factor;
    o.limits.cold_slack = cold_slack;
    o.limits.hold_connections = true;
    return o;
}

class simulation {
public:
    explicit simulation(const row& r)
        : m_row(r), m_random(r.seed), m_work_random(r.seed + 1),
          m_view(make_view(r.instances, r.distant)), m_targets(target_count),
          m_idle(r.instances), m_instances_known(!r.just_started),
          m_heard(r.instances) {
        for (const auto& self : m_view.instances) {
            m_cores.emplace_back(
                make_options(self.id, r.seed * 10'000 + m_cores.size()));
            m_view_lags.push_back(
                milliseconds(m_random.below(longest_view_lag.count() + 1)));
        }
        const auto shared = std::make_shared<fleet::view>(m_view);
        for (std::size_t i = 0; i < m_cores.size(); ++i) {
            hear(i, shared);
        }
    }

    replay_result run() {
        m_leave_at = m_now + (m_row.just_started ? 500ms : 4000ms);
        m_return_at = m_leave_at + m_row.absence;
        m_resume_at = m_return_at + cold_time + resume_time;
        at(m_leave_at, [this] { leave(); });
        at(m_return_at, [this] { come_back(); });
        if (m_row.just_started) {
            after(restore_time, [this] {
                m_instances_known = true;
                for (std::size_t i = 0; i < m_cores.size(); ++i) {
                    hear(i, m_heard[i]);
                }
            });
        }
        confirm_later();
        arrive_later();
        while (!m_events.empty()) {
            m_now = m_events.begin()->first;
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        return m_result;
    }

private:
    void at(base::time_point when, std::function<void()> action) {
        m_events.emplace(when, std::move(action));
    }
    void after(base::duration wait, std::function<void()> action) {
        at(m_now + wait, std::move(action));
    }

    base::duration exponential(base::random& r, seconds mean) {
        return std::chrono::duration_cast<base::duration>(
            mean * -std::log1p(-r.unit()));
    }

    // Passes what the instance knows once it has heard of `v`.
    void hear(std::size_t i, const fleet::view_ptr& v) {
        m_heard[i] = v;
        const auto known = std::make_shared<fleet::view>(*v);
        known->confirmed_at = m_now;
        if (!m_instances_known) {
            known->instances = {v->instances[i]};
            known->instances_known = false;
        }
        pass(i, view_changed{known});
    }

    // Instances in contact with the store know that their view is fresh.
    void confirm_later() {
        after(confirm_period, [this] {
            for (std::size_t i = 0; i < m_cores.size(); ++i) {
                if (is_in_contact(i)) {
                    hear(i, m_heard[i]);
                }
            }
            if (m_now < m_resume_at + load_window) {
                confirm_later();
            }
        });
    }

    [[nodiscard]] bool is_in_contact(std::size_t i) const {
        return m_row.views == store::tells ||
               (m_row.views == store::half_silent && i % 2 == 0);
    }

    // Passes the view to the instances in contact, each after its own lag.
    void publish(const fleet::view& v) {
        const auto shared = std::make_shared<fleet::view>(v);
        for (std::size_t i = 0; i < m_cores.size(); ++i) {
            if (is_in_contact(i)) {
                after(m_view_lags[i], [this, i, shared] { hear(i, shared); });
            }
        }
    }

    void leave() {
        for (std::size_t t = 0; t < restarted_count; ++t) {
            m_targets[t].is_up = false;
        }
        if (m_row.leaves == departure::ends) {
            reset_connections();
        }
        if (m_row.absence > removal_time) {
            after(removal_time, [this] {
                auto v = m_view;
                std::erase_if(v.targets, [](const auto& t) {
                    return std::stoul(t.id.str().substr(2)) < restarted_count;
                });
                publish(v);
            });
        }
    }

    void reset_connections() {
        after(latency, [this] {
            for (auto& by_target : m_idle) {
                for (std::size_t t = 0; t < restarted_count; ++t) {
                    by_target.erase(t);
                }
            }
            std::vector<attempt_ptr> lost;
            for (const auto& [key, a] : m_open) {
                if (a->sent && a->target < restarted_count) {
                    lost.push_back(a);
                }
            }
            for (const auto& a : lost) {
                lose(a);
            }
        });
    }

    void come_back() {
        for (std::size_t t = 0; t < restarted_count; ++t) {
            auto& one = m_targets[t];
            one.is_up = true;
            ++one.run;
            one.cold_until = m_now + cold_time;
            m_view.targets[t].incarnation = one.run;
            m_view.targets[t].cold_until = one.cold_until;
        }
        publish(m_view);
    }

    void arrive_later() {
        after(
            exponential(m_random, seconds(1 / (requests_per_s * m_row.load))),
            [this] {
                if (m_now >= m_resume_at + load_window) {
                    return;
                }
                const auto i = m_random.below(m_cores.size());
                const auto object =
                    numbered("object-", m_random.below(object_count));
                m_last = m_last.next();
                if (m_now >= m_leave_at) {
                    ++m_result.arrived;
                    m_counted.insert(m_last);
                }
                note_offered(first_target(object));
                pass(i, arrival{m_last, "shop.example", "/x", object, 3000ms});
                arrive_later();
            });
    }

    // Counts the last request if the load of its first target is measured now.
    void note_offered(std::size_t first) {
        const auto before_until = m_leave_at - settle_time;
        const bool is_before =
            m_now >= before_until - load_window && m_now < before_until;
        if (first >= restarted_count || !(is_before || m_now >= m_resume_at)) {
            return;
        }
        auto& load = is_before ? m_result.before : m_result.after;
        ++load.offered;
        m_offered[m_last] = {first, &load};
    }

    void pass(std::size_t i, const event& e) {
        for (const auto& out : m_cores[i].handle(e, m_now)) {
            std::visit([&](const auto& one) { run_effect(i, one); }, out);
        }
        if (const auto wake = m_cores[i].next_wakeup()) {
            at(std::max(*wake, m_now), [this, i] {
                const auto next = m_cores[i].next_wakeup();
                if (next && *next <= m_now) {
                    pass(i, tick{});
                }
            });
        }
    }

    void run_effect(std::size_t i, const open_attempt& e) {
        const auto a = std::make_shared<simulated_attempt>();
        a->instance = i;
        a->id = e.open.attempt;
        a->request = e.open.request;
        a->opened_at = m_now;
        a->target = std::stoul(e.open.target.id.str().substr(2));
        a->wants_check = !e.open.check_path.empty();
        m_open[{i, a->id}] = a;
        auto& idle = m_idle[i][a->target];
        std::erase_if(idle, [&](const auto& c) {
            return m_now - c.since >= idle_lifetime;
        });
        if (idle.empty()) {
            return after(latency, [this, a] { accept(a); });
        }
        a->is_reused = true;
        a->run = idle.back().run;
        idle.pop_back();
        after(0ms, [this, a] { connected(a); });
    }

    // A request for a new connection reaches the target's machine.
    void accept(const attempt_ptr& a) {
        const auto& t = m_targets[a->target];
        if (t.is_up) {
            a->run = t.run;
            return a->wants_check
                       ? after(2 * latency, [this, a] { receive_check(a); })
                       : after(latency, [this, a] { connected(a); });
        }
        after(m_row.leaves == departure::dark ? connect_timeout - latency
                                              : latency,
              [this, a] { fail_connect(a); });
    }

    // The connection has been accepted, and its check arrives.
    void receive_check(const attempt_ptr& a) {
        const auto& t = m_targets[a->target];
        if (!t.is_up || a->run != t.run) {
            return after(latency, [this, a] { fail_connect(a); });
        }
        request::target_check check;
        check.tells = true;
        check.cold_for = std::max(0ms, std::chrono::duration_cast<milliseconds>(
                                           t.cold_until - m_now));
        after(latency, [this, a, check] {
            if (!a->ended) {
                pass(a->instance,
                     request::attempt_connected{a->id, check, true});
            }
        });
    }

    void fail_connect(const attempt_ptr& a) {
        if (finish(a)) {
            pass(a->instance, request::attempt_connect_failed{a->id});
        }
    }

    void connected(const attempt_ptr& a) {
        if (!a->ended) {
            pass(a->instance, request::attempt_connected{a->id, std::nullopt,
                                                         !a->is_reused});
        }
    }

    void run_effect(std::size_t i, const request::send_attempt& e) {
        const auto a = m_open.at({i, e.attempt});
        a->sent = true;
        after(latency, [this, a] { receive(a); });
    }

    void receive(const attempt_ptr& a) {
        auto& t = m_targets[a->target];
        if (a->ended) {
            return;
        }
        if (!t.is_up && m_row.leaves == departure::dark) {
            // Sent again by TCP until the machine is back.
            return at(m_return_at, [this, a] { receive(a); });
        }
        if (!t.is_up || a->run != t.run) {
            return after(latency, [this, a] { lose(a); });
        }
        const auto offered = m_offered.find(a->request);
        if (offered != m_offered.end() && offered->second.first == a->target) {
            ++offered->second.second->got;
            m_offered.erase(offered);
        }
        const bool is_cold = m_now < t.cold_until;
        if (is_cold) {
            count_while_cold(t);
        }
        // Work takes twice as long without a cache.
        const seconds work =
            mean_work * (0.5 + m_work_random.unit()) * (is_cold ? 2 : 1);
        after(std::chrono::duration_cast<base::duration>(work),
              [this, a] { answer(a); });
    }

    void count_while_cold(simulated_target& t) {
        t.got_while_cold.push_back(m_now);
        while (m_now - t.got_while_cold.front() >= 1s) {
            t.got_while_cold.pop_front();
        }
        m_result.most_while_cold =
            std::max(m_result.most_while_cold, t.got_while_cold.size());
    }

    void answer(const attempt_ptr& a) {
        const auto& t = m_targets[a->target];
        if (!t.is_up || a->run != t.run) {
            return; // reset, or lost with the machine
        }
        after(latency, [this, a] {
            if (finish(a)) {
                m_idle[a->instance][a->target].push_back({a->run, m_now});
                pass(a->instance,
                     request::attempt_answered{a->id, testing::answered(200)});
            }
        });
    }

    void lose(const attempt_ptr& a) {
        if (finish(a)) {
            close_suspects(*a);
            pass(a->instance, request::attempt_lost{a->id});
        }
    }

    void close_suspects(const simulated_attempt& a) {
        if (a.is_reused && m_now - a.opened_at >= suspect_after) {
            std::erase_if(m_idle[a.instance][a.target],
                          [&](const auto& c) { return c.since < a.opened_at; });
        }
    }

    // Returns whether the attempt had not ended before.
    bool finish(const attempt_ptr& a) {
        m_open.erase({a->instance, a->id});
        return !std::exchange(a->ended, true);
    }

    void run_effect(std::size_t i, const request::abandon_attempt& e) {
        const auto a = m_open.at({i, e.attempt});
        finish(a);
        close_suspects(*a);
    }

    void run_effect(std::size_t, const request::forward_response& e) {
        m_result.served += m_counted.contains(e.request) ? 1 : 0;
    }

    template <class Other>
    void run_effect(std::size_t, const Other&) {}

    const row& m_row;
    // Apart, so that the same requests arrive whatever is decided.
    base::random m_random; // of the arrivals
    base::random m_work_random;
    base::time_point m_now{std::chrono::hours(1)};
    base::time_point m_leave_at;
    base::time_point m_return_at;
    base::time_point m_resume_at; // the usual load is due from then on
    std::multimap<base::time_point, std::function<void()>> m_events;
    fleet::view m_view; // what the store knows
    std::vector<milliseconds> m_view_lags;
    std::vector<core> m_cores;
    std::vector<simulated_target> m_targets;
    // By instance and target.
    std::vector<std::map<std::size_t, std::vector<idle_connection>>> m_idle;
    std::map<std::pair<std::size_t, base::attempt_id>, attempt_ptr> m_open;
    bool m_instances_known;               // to the instances
    std::vector<fleet::view_ptr> m_heard; // the last view, by instance
    std::set<base::request_id> m_counted; // those that count as arrived
    // Requests that their first target has not got yet, with that target.
    std::map<base::request_id, std::pair<std::size_t, replay_result::load*>>
        m_offered;
    base::request_id m_last;
    replay_result m_result;
};

constexpr row rows[] = {
    {"61 instances, 0.2 s", 61, 200ms, 1},
    {"61 instances, 0.5 s", 61, 500ms, 2},
    {"61 instances, 1.2 s", 61, 1200ms, 3},
    {"61 instances, 4 s", 61, 4000ms, 4},
    {"89 instances, 0.2 s", 89, 200ms, 5},
    {"89 instances, 0.5 s", 89, 500ms, 6},
    {"89 instances, 1.2 s", 89, 1200ms, 107},
    {"89 instances, 4 s", 89, 4000ms, 8},
    {"1,300 instances, 0.2 s", 1300, 200ms, 9},
    {"1,300 instances, 0.5 s", 1300, 500ms, 10},
    {"1,300 instances, 1.2 s", 1300, 1200ms, 11},
    {"1,300 instances, 4 s", 1300, 4000ms, 12},
    {"61 instances, silent store", 61, 500ms, 13, store::silent},
    {"61 instances, 4 s, silent store", 61, 4000ms, 30, store::silent},
    {"1,300 instances, silent store", 1300, 500ms, 14, store::silent},
    {"61 instances, half out of contact", 61, 500ms, 15, store::half_silent},
    {"1,300 instances, half out of contact", 1300, 500ms, 16,
     store::half_silent},
    {"61 instances, dark", 61, 1200ms, 217, store::tells, departure::dark},
    {"1,300 instances, dark", 1300, 1200ms, 18, store::tells, departure::dark},
    {"61 instances, just started", 61, 500ms, 19, store::tells, departure::ends,
     true},
    {"1,300 instances, just started", 1300, 500ms, 20, store::tells,
     departure::ends, true},
    {"61 distant instances, 0.2 s", 61, 200ms, 31, store::tells,
     departure::ends, false, true, 2},
    {"89 distant instances, 1.2 s", 89, 1200ms, 32, store::tells,
     departure::ends, false, true, 2},
    {"1,300 distant instances, 0.2 s", 1300, 200ms, 33, store::tells,
     departure::ends, false, true, 2},
    {"1,300 distant instances, 1.2 s", 1300, 1200ms, 34, store::tells,
     departure::ends, false, true, 2},
    {"89 distant instances, silent store", 89, 500ms, 35, store::silent,
     departure::ends, false, true, 2},
    {"1,300 distant instances, dark", 1300, 1200ms, 36, store::tells,
     departure::dark, false, true, 2},
    {"89 distant instances, half out of contact", 89, 500ms, 37,
     store::half_silent, departure::ends, false, true, 2},
};

// A row is replayed once for all tests.
const replay_result& replay(const row& r) {
    static std::map<std::string, replay_result> done;
    const auto found = done.find(r.name);
    return found != done.end()
               ? found->second
               : done.emplace(r.name, simulation(r).run()).first->second;
}

void check_cold_bound(const row& r) {
    const std::string name = r.name;
    CAPTURE(name);
    CHECK(static_cast<double>(replay(r).most_while_cold) <=
          cold_rate * cold_factor + cold_slack);
}

void check_usual_load(const row& r, const replay_result::load& l) {
    const std::string name = r.name;
    CAPTURE(name);
    CAPTURE(l.offered);
    CHECK(static_cast<double>(l.got) >=
          least_load * static_cast<double>(l.offered));
}

} // namespace

// A request on a new connection reaches a process that no view has told of yet.
TEST_CASE("a target restarted under its old id is not flooded while cold") {
    for (const auto& r : rows) {
        check_cold_bound(r);
    }
}

TEST_CASE("callers are served while targets restart") {
    for (const auto& r : rows) {
        const auto& result = replay(r);
        const std::string name = r.name;
        CAPTURE(name);
        CHECK(static_cast<double>(result.served) >=
              least_served * static_cast<double>(result.arrived));
    }
}

TEST_CASE("a restarted target has its usual load again after its cold time") {
    for (const auto& r : rows) {
        check_usual_load(r, replay(r).before);
        check_usual_load(r, replay(r).after);
    }
}

// Guards against an instance that takes a target that it ejected for cold, and
// may not send the probe that would end that.
TEST_CASE("an ejected target is probed without a part of its cold rate") {
    auto view = std::make_shared<fleet::view>(make_view(61));
    view->targets.resize(1);
    const auto& target = view->targets.front().id;
    const auto self = std::find_if(
        view->instances.begin(), view->instances.end(), [&](const auto& one) {
            return cold_quota(cold_rate * cold_factor + cold_slack, target,
                              one.id, view->instances) == 0;
        });
    REQUIRE(self != view->instances.end());
    core c(make_options(self->id, 1));
    base::time_point now{std::chrono::hours(1)};
    base::request_id last;
    const auto arrive = [&] {
        last = last.next();
        return c.handle(arrival{last, "shop.example", "/x", "7", 3000ms}, now);
    };
    CHECK(c.handle(view_changed{view}, now).empty());
    for (int failures = 0; failures < 2; ++failures) {
        const auto id = testing::opened(arrive());
        CHECK(testing::find<refuse>(c.handle(
                  request::attempt_connect_failed{id}, now)) != nullptr);
    }
    // Longer than any ejection.
    now += 60s;
    CHECK(testing::find<open_attempt>(arrive()) != nullptr);
}
