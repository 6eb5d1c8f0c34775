#include "pollenreel/node/control_thread.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/control/core.hpp"
#include "pollenreel/http/server.hpp"
#include "pollenreel/lookup/table.hpp"
#include "pollenreel/node/level_keeper.hpp"
#include "pollenreel/node/metrics_text.hpp"
#include "pollenreel/node/operator_interface.hpp"
#include "pollenreel/peer/transport.hpp"
#include "pollenreel/store/etcd_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <csignal>
#include <cstdlib>
#include <map>

namespace pollenreel::node {

namespace {

constexpr int exit_on_second_signal = 130;
// How long other instances may go on naming one that has begun to leave.
constexpr std::chrono::milliseconds announcement_time{1000};

http::server_options server_options(const settings::settings& s) {
    http::server_options o;
    o.listen = s.operators.listen;
    o.max_connections = 256;
    return o;
}

std::optional<peer::curve_keys> keys_of(const settings::peer_settings& s) {
    if (s.curve_secret_key.empty()) {
        return std::nullopt;
    }
    return peer::curve_keys{s.curve_public_key, s.curve_secret_key,
                            s.curve_fleet_public_key};
}

control::identity identity(const settings::settings& s,
                           std::uint64_t incarnation) {
    return {{s.instance.id, s.instance.failure_domain, s.traffic.listen,
             s.peers.listen, incarnation, false},
            s.peers.seeds,
            s.store.key_prefix + "/configuration",
            static_cast<std::uint32_t>(s.traffic.threads)};
}

} // namespace

class control_thread::loop {
public:
    loop(const settings::settings& s, std::uint64_t incarnation,
         std::vector<traffic_thread*> traffic, const base::clock& clock,
         log::logger log)
        : m_token(s.operators.token), m_traffic(std::move(traffic)),
          m_clock(clock), m_log(std::move(log)),
          m_core(identity(s, incarnation), clock.now()), m_tick(m_io),
          m_leave(m_io), m_signals(m_io, SIGTERM, SIGINT),
          m_operators(m_io, server_options(s),
                      [this](const http::request& r, http::responder answer) {
                          on_call(r, std::move(answer));
                      }),
          m_peers(m_io, s.peers.listen, keys_of(s.peers),
                  [this](peer::message m) {
                      handle(control::peer_received{std::move(m)});
                  }),
          m_store(m_io, s.store.endpoints, s.store.call_timeout) {}

    base::result<void> start() {
        BOOST_OUTCOME_TRY(m_operators.start());
        BOOST_OUTCOME_TRY(m_peers.start());
        return boost::outcome_v2::success();
    }

    void run() {
        wait_for_signal();
        tick();
        m_io.run();
        for (auto* t : m_traffic) {
            t->join();
        }
    }

private:
    void on_call(const http::request& r, http::responder answer) {
        m_last_call = m_last_call.next();
        std::visit(base::overloaded{
                       [&](const operator_refusal& refused) {
                           answer(refused.answer);
                       },
                       [&](const metrics_call&) {
                           answer(
                               {200,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                metrics_text(m_traffic, m_peers.counters(),
                                             m_core.applied())});
                       },
                       [&](const service_levels_call&) {
                           answer({200,
                                   {{"Content-Type", "application/json"}},
                                   service_levels()});
                       },
                       [&](auto event) {
                           stamp(event);
                           m_calls.emplace(m_last_call, std::move(answer));
                           handle(event);
                       },
                   },
                   read_operator_call(r, m_last_call, m_token));
    }

    void stamp(control::change_received& e) const {
        using std::chrono::milliseconds;
        e.change.at = std::chrono::floor<milliseconds>(m_clock.wall_now());
    }
    void stamp(const control::query_received&) const {}
    void stamp(const control::plan_received&) const {}

    void handle(const control::event& e) {
        for (const auto& effect : m_core.handle(e, m_clock.now())) {
            std::visit([&](const auto& one) { run(one); }, effect);
        }
    }

    void run(const control::call_store& e) {
        m_store.call(e.request, [this, user = e.user](const store::reply& r) {
            handle(control::store_replied{user, r});
        });
    }

    void run(const control::open_watch& e) {
        m_watch = m_store.open(e.watch, [this](const store::watch_report& r) {
            handle(control::watch_reported{r});
        });
    }

    void run(const control::close_watch&) { m_watch.reset(); }

    void run(const control::send_peer& e) { m_peers.send(e.to, e.message); }

    void run(const control::publish& e) {
        m_log.info("published", {{"version", e.snapshot->version.value()},
                                 {"instances", e.snapshot->instances.size()}});
        for (auto* t : m_traffic) {
            t->publish(e.snapshot);
        }
    }

    void run(const control::publish_allowances& e) {
        for (auto* t : m_traffic) {
            t->publish(e.allowances);
        }
    }

    void run(const control::answer_operator& e) {
        const auto found = m_calls.find(e.call);
        if (found != m_calls.end()) {
            found->second(to_response(e));
            m_calls.erase(found);
        }
    }

    void run(const control::stop_instance&) {
        m_log.info("drained by command");
        boost::asio::post(m_io, [this] { begin_leaving(); });
    }

    std::string service_levels() {
        observe_levels();
        return boost::json::serialize(report::to_json(m_levels.read(
            m_core.self(), m_core.configuration(), m_clock.now())));
    }

    void observe_levels() {
        m_levels.observe(readings_of(m_traffic), m_core.own_region(),
                         m_clock.now());
    }

    void tick() {
        shift::traffic_report sum;
        for (auto* t : m_traffic) {
            shift::merge(sum, t->take_traffic());
        }
        handle(control::traffic_reported{std::move(sum)});
        handle(control::tick{});
        if (m_levels.due(m_clock.now())) {
            observe_levels();
        }
        m_tick.expires_after(control::tick_period);
        m_tick.async_wait([this](const boost::system::error_code& e) {
            if (!e) {
                tick();
            }
        });
    }

    void wait_for_signal() {
        m_signals.async_wait(
            [this](const boost::system::error_code& e, int signal) {
                if (!e) {
                    on_signal(signal);
                }
            });
    }

    void on_signal(int signal) {
        if (m_leaving) {
            m_log.warning("ended by a second signal", {{"signal", signal}});
            std::_Exit(exit_on_second_signal);
        }
        m_log.info("leaving",
                   {{"signal", signal},
                    {"hint", "a second signal ends the process at once"}});
        wait_for_signal();
        begin_leaving();
    }

    void begin_leaving() {
        if (m_leaving) {
            return;
        }
        m_leaving = true;
        handle(control::stop_requested{});
        m_leave.expires_after(lookup::answer_time_to_live + announcement_time);
        m_leave.async_wait([this](const boost::system::error_code&) {
            for (auto* t : m_traffic) {
                t->stop();
            }
            finish_when_traffic_has();
        });
    }

    void finish_when_traffic_has() {
        std::size_t left = 0;
        for (const auto* t : m_traffic) {
            const auto c = t->counters();
            left += c.requests_in_flight + c.connections;
        }
        if (left == 0) {
            m_operators.stop();
            m_peers.stop();
            m_io.stop();
            return;
        }
        m_leave.expires_after(control::tick_period);
        m_leave.async_wait([this](const boost::system::error_code&) {
            finish_when_traffic_has();
        });
    }

    std::string m_token;
    std::vector<traffic_thread*> m_traffic;
    const base::clock& m_clock;
    log::logger m_log;
    boost::asio::io_context m_io{1};
    control::core m_core;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_leave;
    boost::asio::signal_set m_signals;
    http::server m_operators;
    peer::transport m_peers;
    store::etcd_client m_store;
    std::unique_ptr<store::open_watch> m_watch;
    control::call_id m_last_call;
    std::map<control::call_id, http::responder> m_calls;
    level_keeper m_levels;
    bool m_leaving = false;
};

control_thread::control_thread(const settings::settings& s,
                               std::uint64_t incarnation,
                               std::vector<traffic_thread*> traffic,
                               const base::clock& clock, log::logger log)
    : m_loop(std::make_unique<loop>(s, incarnation, std::move(traffic), clock,
                                    std::move(log))) {}

control_thread::~control_thread() = default;

base::result<void> control_thread::start() {
    return m_loop->start();
}

void control_thread::run() {
    m_loop->run();
}

} // namespace pollenreel::node
