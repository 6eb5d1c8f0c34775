#include "pollenreel/dispatch/load_replay.hpp"

#include "pollenreel/base/random.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pollenreel::dispatch::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds target_latency = 400ms;
constexpr base::duration near_latency = 2ms;
constexpr base::duration far_latency = 35ms;
constexpr base::duration shift_window = 2s;

// One attempt, from its connection until its end.
struct job {
    std::size_t instance = 0;
    base::attempt_id attempt;
    std::size_t target = 0;
    base::duration latency{};
    bool ended = false;
};
using job_ptr = std::shared_ptr<job>;

struct simulated_target {
    std::size_t region = 0;
    std::uint32_t connections = 0;
    std::uint32_t running = 0;
    std::deque<job_ptr> waiting;
};

struct request_info {
    std::size_t region = 0;
    std::size_t priority = 0; // index
    base::time_point at;
};

std::string numbered(const char* prefix, std::size_t number) {
    return prefix + std::to_string(number);
}

class simulation {
public:
    simulation(const replay_pattern& p, std::uint64_t seed)
        : m_pattern(p), m_random(seed), m_work_random(seed + 1) {
        make_fleet(seed);
        m_result.by_region.resize(p.targets.size());
        m_result.by_priority.resize(p.priorities.size());
        m_result.windows.resize(
            static_cast<std::size_t>(p.lasts / shift_window) + 1);
        for (std::size_t i = 0; i < m_cores.size(); ++i) {
            arrive_later(i);
        }
    }

    replay_result run() {
        const auto end = m_now + m_pattern.lasts;
        while (!m_events.empty() && m_events.begin()->first < end) {
            m_now = m_events.begin()->first;
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        return m_result;
    }

private:
    void make_fleet(std::uint64_t seed) {
        routes::configuration c;
        c.version = base::config_version(1);
        for (std::size_t i = 0; i < m_pattern.priorities.size(); ++i) {
            routes::route r;
            r.id = numbered("r-", i);
            r.host = "shop.example";
            r.path_prefix = numbered("/", i) + "/";
            r.priority = m_pattern.priorities[i];
            r.timeout = 1200ms;
            r.target_latency = target_latency;
            r.max_attempts = 2;
            r.idempotent = true;
            r.sticky = true;
            r.services = {{base::service_id("s"), 1}};
            c.routes.push_back(r);
        }
        c.services.push_back(
            {base::service_id("s"), m_pattern.connection_limit, 3s, 1000});
        auto view = std::make_shared<fleet::view>();
        view->routes = std::make_shared<routes::route_table>(std::move(c));
        view->instances_known = true;
        const auto regions = m_pattern.targets.size();
        for (std::size_t region = 0; region < regions; ++region) {
            for (std::size_t i = 0; i < m_pattern.targets[region]; ++i) {
                fleet::target t;
                t.id = base::target_id(numbered("t-", m_targets.size()));
                t.service = base::service_id("s");
                t.region = base::region_id(numbered("region-", region));
                t.slots = m_pattern.slots;
                t.incarnation = 1;
                view->targets.push_back(t);
                m_targets.emplace_back().region = region;
            }
            for (std::size_t i = 0; i < m_pattern.instances; ++i) {
                options o;
                o.seed = seed * 1000 + m_cores.size();
                o.self = base::instance_id(numbered("i-", m_cores.size()));
                o.region = base::region_id(numbered("region-", region));
                o.regions = regions;
                o.limits = m_pattern.limits;
                fleet::instance self;
                self.id = o.self;
                self.region = o.region;
                view->instances.push_back(self);
                m_regions.push_back(region);
                m_cores.emplace_back(o);
            }
        }
        m_open.resize(m_cores.size());
        m_requests.resize(m_cores.size());
        for (std::size_t i = 0; i < m_cores.size(); ++i) {
            pass(i, view_changed{view});
        }
    }

    void at(base::time_point when, std::function<void()> action) {
        m_events.emplace(when, std::move(action));
    }

    static base::duration exponential(base::random& r,
                                      std::chrono::duration<double> mean) {
        return std::chrono::duration_cast<base::duration>(
            mean * -std::log1p(-r.unit()));
    }

    void arrive_later(std::size_t i) {
        at(m_now + exponential(m_random, std::chrono::duration<double>(
                                             1 / m_pattern.requests_per_s)),
           [this, i] {
               m_last = m_last.next();
               const auto priority =
                   m_random.below(m_pattern.priorities.size());
               m_requests[i][m_last] = {m_regions[i], priority, m_now};
               count(m_requests[i].at(m_last), &replay_result::count::arrived);
               pass(i,
                    arrival{m_last, "shop.example",
                            numbered("/", priority) + "/x",
                            std::to_string(m_random.below(m_pattern.objects)),
                            3000ms});
               arrive_later(i);
           });
    }

    void count(const request_info& r,
               std::uint64_t replay_result::count::*which) {
        ++(m_result.all.*which);
        ++(m_result.by_region[r.region].*which);
        ++(m_result.by_priority[r.priority].*which);
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
        ++m_result.attempts;
        auto j = std::make_shared<job>();
        j->instance = i;
        j->attempt = e.open.attempt;
        j->target = std::stoul(e.open.target.id.str().substr(2));
        j->latency = m_targets[j->target].region == m_regions[i] ? near_latency
                                                                 : far_latency;
        m_open[i][j->attempt] = j;
        ++m_targets[j->target].connections;
        if (m_regions[i] == 0 && e.record.cause == attempt_cause::first) {
            auto& w = m_result.windows[static_cast<std::size_t>(
                (m_now - m_start) / shift_window)];
            ++w.attempts;
            w.abroad += e.record.chosen.kind.abroad ? 1 : 0;
        }
        at(m_now + j->latency, [this, j] {
            if (!j->ended) {
                pass(j->instance, request::attempt_connected{j->attempt});
            }
        });
    }

    void run_effect(std::size_t i, const request::send_attempt& e) {
        const auto j = m_open[i].at(e.attempt);
        at(m_now + j->latency, [this, j] { receive(j); });
    }

    void run_effect(std::size_t i, const request::abandon_attempt& e) {
        finish(m_open[i].at(e.attempt));
    }

    void run_effect(std::size_t i, const request::forward_response& e) {
        const auto r = m_requests[i].at(e.request);
        const bool late = m_now - r.at > target_latency;
        count(r, late ? &replay_result::count::late
                      : &replay_result::count::in_time);
        m_result.by_region[r.region].waited += m_now - r.at;
    }

    void run_effect(std::size_t i, const refuse& e) {
        count(m_requests[i].at(e.request), &replay_result::count::refused);
    }

    template <class Other>
    void run_effect(std::size_t, const Other&) {}

    // The attempt has ended; its connection is closed or idle.
    void finish(const job_ptr& j) {
        if (!j->ended) {
            j->ended = true;
            --m_targets[j->target].connections;
            std::erase(m_targets[j->target].waiting, j);
        }
    }

    void answer(const job_ptr& j, unsigned status) {
        const auto& t = m_targets[j->target];
        request::response_info r;
        r.status = status;
        r.shed = status == 503;
        r.id_matches = true;
        r.load = request::target_load{
            t.running, static_cast<std::uint32_t>(t.waiting.size()),
            m_pattern.slots, 100};
        at(m_now + j->latency, [this, j, r] {
            if (!j->ended) {
                finish(j);
                pass(j->instance, request::attempt_answered{j->attempt, r});
            }
        });
    }

    void receive(const job_ptr& j) {
        auto& t = m_targets[j->target];
        if (j->ended) {
            return;
        }
        const bool queue_is_long = t.waiting.size() >= m_pattern.slots;
        if (t.connections >
            m_pattern.connection_limit / (queue_is_long ? 2U : 1U)) {
            ++m_result.resets;
            finish(j);
            return pass(j->instance, request::attempt_lost{j->attempt});
        }
        if (t.running < m_pattern.slots) {
            start(j);
        } else if (t.waiting.size() < m_pattern.max_waiting) {
            t.waiting.push_back(j);
        } else {
            ++m_result.refused_by_full;
            answer(j, 503);
        }
    }

    void start(const job_ptr& j) {
        ++m_targets[j->target].running;
        at(m_now + exponential(m_work_random, m_pattern.work), [this, j] {
            auto& t = m_targets[j->target];
            --t.running;
            if (!t.waiting.empty()) {
                const auto next = t.waiting.front();
                t.waiting.pop_front();
                start(next);
            }
            answer(j, 200);
        });
    }

    const replay_pattern& m_pattern;
    // Apart, so that the same requests arrive whatever is decided.
    base::random m_random; // of the arrivals
    base::random m_work_random;
    const base::time_point m_start{std::chrono::hours(1)};
    base::time_point m_now = m_start;
    std::multimap<base::time_point, std::function<void()>> m_events;
    std::vector<simulated_target> m_targets;
    std::vector<core> m_cores;
    std::vector<std::size_t> m_regions; // of the cores
    std::vector<std::map<base::attempt_id, job_ptr>> m_open;
    std::vector<std::map<base::request_id, request_info>> m_requests;
    base::request_id m_last;
    replay_result m_result;
};

} // namespace

replay_result replay(const replay_pattern& p, std::uint64_t seed) {
    return simulation(p, seed).run();
}

} // namespace pollenreel::dispatch::testing
