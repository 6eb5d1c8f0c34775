#include "pollenreel/entry/control.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/dispatch/key_freshness.hpp"
#include "pollenreel/entry/change_log.hpp"
#include "pollenreel/entry/exchange_driver.hpp"
#include "pollenreel/entry/quota_ledger.hpp"
#include "pollenreel/entry/value_log.hpp"
#include "pollenreel/fleet/announcer.hpp"
#include "pollenreel/relay/client.hpp"
#include "pollenreel/relay/listener.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <string>
#include <utility>

#include <sys/stat.h>

namespace pollenreel::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_period{100};
// A relay that died is announced until its lease ends and a watch returns.
constexpr milliseconds relay_pause_margin{1500};
// The process ends this long before it is ended from outside.
constexpr milliseconds stop_margin{500};
// How often the settings file is looked at for a change without a signal.
constexpr milliseconds settings_check_period{1000};

fleet::fleet_state_options belief_options_of(const settings& s) {
    fleet::fleet_state_options o;
    o.report_lag = 2 * s.heartbeat_interval;
    o.outage_threshold = s.heartbeat_interval * 7 / 4;
    o.instance_outage_threshold = milliseconds(s.stable_window) / 2;
    return o;
}

fleet::follower_options follower_options_of(const settings& s,
                                            const store_layout& l) {
    fleet::follower_options o;
    o.prefix = l.prefix;
    o.self = s.self();
    o.relay_retry_delay = s.stable_window + relay_pause_margin;
    o.departure_bound = s.change_bound();
    o.confirms_configuration = s.limits.revocation_bound.count() > 0;
    return o;
}

// Hands over between the control thread, which runs `io`, and the traffic's.
report_hooks hooks_of(boost::asio::io_context& io, traffic& t) {
    using report = fleet::exchange_report;
    return {[&io, &t](bool whole, std::function<void(const report&)> done) {
                t.make_report(whole, [&io, done = std::move(done)](report r) {
                    boost::asio::post(io,
                                      [done, r = std::move(r)] { done(r); });
                });
            },
            [&t](const fleet::exchange_news& n) { t.on_news(n); }};
}

// Changes whenever the file is written or replaced.
std::pair<std::int64_t, std::uint64_t> file_stamp(const std::string& path) {
    struct stat found {};
    if (::stat(path.c_str(), &found) != 0) {
        return {};
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return {found.st_mtim.tv_sec * ns_per_s + found.st_mtim.tv_nsec,
            found.st_ino};
}

} // namespace

class control::loop {
public:
    loop(boost::asio::io_context& io, settings s, control_options o,
         store::client& store, traffic& t, control_counts& counts,
         const base::clock& clock, log::logger log, log::line_writer& out)
        : m_io(io), m_settings(std::move(s)), m_options(std::move(o)),
          m_store(store), m_traffic(t), m_counts(counts), m_clock(clock),
          m_log(std::move(log)), m_out(out), m_tick(io),
          m_signals(io, SIGTERM, SIGINT, SIGHUP),
          m_beliefs(m_settings.regions, belief_options_of(m_settings)),
          m_values(m_log, clock, counts),
          m_follower(
              follower_options_of(m_settings, m_options.layout),
              [this](const store::key_change& c) {
                  return m_values.decode(m_options.layout.decode, c);
              },
              m_beliefs,
              [this](const fleet::change& c, fleet::effect e,
                     store::revision at) { on_change(c, e, at); }),
          m_asker(io, clock), m_announcer({m_options.layout.announce_key,
                                           m_options.layout.announce_value,
                                           m_settings.stable_window}),
          m_settings_stamp(file_stamp(m_options.settings_path)),
          m_quotas(m_settings, clock, m_log),
          m_exchange(io, m_settings, clock, counts, m_log, m_quotas.hooks(),
                     hooks_of(io, t)) {}

    void run() {
        wait_for_signal();
        start_relay();
        run(m_follower.start(m_clock.now()));
        tick();
        m_io.run();
        m_traffic.join();
    }

private:
    void run(const fleet::follower::actions& actions) {
        for (const auto& a : actions) {
            std::visit([&](const auto& one) { run(one); }, a);
        }
        publish_if_changed();
    }

    void run(const fleet::follower::list& l) {
        call(store::read_prefix{l.prefix},
             [this, asked_at = m_clock.now()](const store::reply& r) {
                 note_listing(r, asked_at);
                 run(m_follower.on_list_reply(r, m_clock.now()));
                 tell_askers();
             });
    }

    void note_listing(const store::reply& r, base::time_point asked_at) {
        const auto* all = std::get_if<store::found_all>(&r);
        m_log.info("store_listed",
                   {{"entries", all != nullptr ? all->entries.size() : 0},
                    {"revision", all != nullptr ? all->at.value : 0},
                    {"complete", all != nullptr},
                    {"took_ms", since(asked_at)}});
    }

    void run(const fleet::follower::watch& w) {
        m_asker.cancel();
        m_watch = m_store.open(
            w.request, [this](const store::watch_report& r) { on_report(r); });
    }

    void run(const fleet::follower::poll& a) {
        m_watch.reset();
        m_polled_at = m_clock.now();
        ++m_counts.relay_asks;
        m_asker.poll(a.endpoint, a.request, a.timeout,
                     [this](const std::optional<fleet::relay_response>& r) {
                         on_relayed(r);
                     });
    }

    void run(const fleet::follower::read& r) {
        call(store::read{r.key}, [this, key = r.key, asked_at = m_clock.now()](
                                     const store::reply& a) {
            m_values.on_read({key, asked_at}, a);
            run(m_follower.on_read_reply(key, a, m_clock.now()));
        });
    }

    void run(const fleet::follower::fetch& f) {
        m_asker.fetch(f.endpoint, f.request, f.timeout,
                      [this, key = f.request.key, from = f.endpoint,
                       asked_at = m_clock.now()](
                          const base::result<fleet::relayed_value>& v) {
                          m_values.on_fetched({key, asked_at}, from, v);
                          run(m_follower.on_fetch_response(
                              key, v ? std::optional(v.value()) : std::nullopt,
                              m_clock.now()));
                      });
    }

    void on_relayed(const std::optional<fleet::relay_response>& answer) {
        const auto polled = m_follower.relay();
        if (answer) {
            m_values.on_references(answer->references, polled.watcher,
                                   m_beliefs.last_contact_at());
        }
        const auto max_age = m_follower.max_contact_age();
        const auto actions =
            m_follower.on_relay_response(answer, m_clock.now());
        const bool watches =
            !actions.empty() &&
            std::holds_alternative<fleet::follower::watch>(actions.front());
        if (watches || m_follower.relay() != polled) {
            ++m_counts.relay_failures;
            m_log.info("relay_left",
                       {{"relay", polled.watcher.str()},
                        {"next", m_follower.relay().watcher.str()},
                        {"problem", relay::failure_reason(answer, max_age)},
                        {"waited_ms", std::chrono::duration_cast<milliseconds>(
                                          m_clock.now() - m_polled_at)
                                          .count()}});
        }
        run(actions);
    }

    void start_relay() {
        if (!m_settings.relay) {
            return;
        }
        m_relay_listener.emplace(
            m_io, *m_settings.relay, m_clock,
            [this](const fleet::relay_request& poll) {
                return m_follower.make_relay_response(poll, m_store_reached,
                                                      m_clock.now());
            },
            [this](const fleet::value_request& r) {
                return m_follower.make_fetch_response(r, m_clock.now());
            });
        m_exchange.use_listener(*m_relay_listener);
        m_relay_listener->serve_checks([this](const auto& target, auto done) {
            m_traffic.check_target(
                target, [&io = m_io, done = std::move(done)](const auto& c) {
                    boost::asio::post(io, [done, c] { done(c); });
                });
        });
        if (const auto up = m_relay_listener->start(); !up) {
            m_log.warning("relay_cannot_listen",
                          {{"problem", up.error().text()}});
        }
    }

    // After each report of the store.
    void tell_askers() {
        if (m_relay_listener) {
            m_relay_listener->on_progress();
            m_counts.relay_answers = m_relay_listener->response_count();
            m_counts.relay_answer_bytes = m_relay_listener->response_bytes();
        }
    }

    void note_relay() {
        const auto& relay = m_follower.relay();
        if (relay == m_relay) {
            return;
        }
        m_relay = relay;
        m_log.info("relay_chosen", {{"role", fleet::to_string(relay.role)},
                                    {"relay", relay.watcher.str()}});
    }

    void call(const store::request& r, store::client::reply_handler done) {
        ++m_counts.store_calls;
        m_store.call(r, [this, done = std::move(done)](const store::reply& a) {
            const bool failed = std::holds_alternative<store::unreachable>(a) ||
                                std::holds_alternative<store::unanswered>(a);
            m_counts.store_failures += failed ? 1 : 0;
            if (failed) {
                m_beliefs.on_contact_lost();
            } else {
                m_beliefs.on_reply(m_clock.now());
            }
            const auto* silent = std::get_if<store::unanswered>(&a);
            const bool regained = note_store(
                !failed, "call", silent != nullptr ? silent->problem : "");
            done(a);
            if (regained) {
                run(m_follower.on_store_regained(m_clock.now()));
            }
        });
    }

    void on_report(const store::watch_report& r) {
        const auto* closed = std::get_if<store::watch_closed>(&r);
        const bool cut = closed != nullptr;
        if (!std::holds_alternative<store::watch_opened>(r)) {
            ++m_counts.store_calls;
            ++(cut ? m_counts.store_failures : m_counts.store_watch_returns);
            note_store(!cut, "watch", cut ? closed->problem : "");
        }
        if (std::holds_alternative<store::watch_compacted>(r)) {
            m_log.info("store_history_lost");
        }
        run(m_follower.on_watch_report(r, m_clock.now()));
        if (!m_follower.is_listing()) {
            tell_askers();
        }
    }

    // In milliseconds.
    [[nodiscard]] std::int64_t since(base::time_point t) const {
        return std::chrono::duration_cast<milliseconds>(m_clock.now() - t)
            .count();
    }

    // One line when the store is lost, and one when it answers again; true in
    // the latter case.
    bool note_store(bool reached, std::string_view by,
                    std::string_view problem) {
        if (reached == std::exchange(m_store_reached, reached)) {
            return false;
        }
        if (reached) {
            m_log.info(
                "store_regained",
                {{"by", by}, {"gap_ms", since(m_beliefs.last_contact_at())}});
        } else {
            m_log.warning("store_lost", {{"by", by}, {"problem", problem}});
            tell_askers();
        }
        return reached;
    }

    void on_change(const fleet::change& c, fleet::effect e,
                   store::revision at) {
        m_changed = m_changed || e == fleet::effect::changed ||
                    e == fleet::effect::refreshed;
        if (std::holds_alternative<fleet::unreadable>(c)) {
            ++m_counts.unreadable_entries;
        }
        if (const auto* w = std::get_if<fleet::configuration_written>(&c);
            w != nullptr && e == fleet::effect::changed) {
            m_counts.configuration_problems += w->configuration.problem_count;
        }
        log_change(m_log, c, e,
                   {m_follower.source(),
                    std::chrono::duration_cast<milliseconds>(
                        m_clock.now() - m_published_contact),
                    at, m_values.decode_time(), m_values.transfer_time()});
        const auto* gone = std::get_if<fleet::instance_removed>(&c);
        if (gone != nullptr && gone->id == m_settings.id) {
            m_announcer.on_key_removed(m_clock.now());
        }
    }

    void publish_if_changed() {
        if (!m_beliefs.is_complete() || m_follower.is_listing()) {
            return;
        }
        // A view also tells when the store last answered.
        const bool confirmed =
            m_beliefs.last_contact_at() > m_published_contact ||
            m_beliefs.configuration_confirmed_at() > m_published_confirmation;
        if (std::exchange(m_changed, false) || confirmed) {
            note_relay();
            m_published_contact = m_beliefs.last_contact_at();
            m_published_confirmation = m_beliefs.configuration_confirmed_at();
            const auto view = m_beliefs.build_view();
            m_quotas.on_view(*view);
            m_exchange.on_view(*view);
            m_traffic.publish(view);
        }
    }

    // One line when requests with keys begin to be refused because the
    // configuration is unconfirmed, and one when they are served again.
    void note_keys() {
        const auto confirmed_at = m_beliefs.configuration_confirmed_at();
        const auto now = m_clock.boot_now();
        const bool fresh = dispatch::is_key_view_fresh(
            confirmed_at, m_settings.limits.revocation_bound, now);
        if (fresh == std::exchange(m_keys_fresh, fresh)) {
            return;
        }
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - confirmed_at);
        if (fresh) {
            m_log.info("keys_confirmed", {{"age_ms", age.count()}});
        } else {
            m_log.warning("keys_lapsed", {{"age_ms", age.count()}});
        }
    }

    void announce() {
        if (!m_beliefs.is_complete()) {
            return;
        }
        if (const auto r = m_announcer.next_request(m_clock.now())) {
            call(*r, [this](const store::reply& a) {
                m_announcer.on_reply(a, m_clock.now());
                if (m_announcer.current_state() !=
                    fleet::announcer::state::announced) {
                    announce();
                }
            });
        }
    }

    void tick() {
        const auto now = m_clock.now();
        if (const auto late = m_counts.control_loop.on_timer(m_tick_due, now)) {
            m_log.warning("event_loop_delayed",
                          {{"thread", "control"}, {"late_ms", late->count()}});
        }
        m_out.flush();
        report_dropped_lines();
        m_changed = m_beliefs.remove_expired(now) || m_changed;
        if (m_watch && m_watch->is_receiving()) {
            m_follower.on_watch_progress(now);
        }
        const auto due = m_follower.tick(now);
        if (m_store_reached && m_watch && !due.empty() &&
            std::holds_alternative<fleet::follower::watch>(due.front())) {
            m_log.info("store_watch_overdue",
                       {{"gap_ms", since(m_beliefs.last_contact_at())}});
        }
        run(due);
        note_keys();
        announce();
        m_exchange.tick();
        if (m_relay_listener) {
            m_relay_listener->tick();
        }
        if (now - m_settings_checked >= settings_check_period) {
            m_settings_checked = now;
            reload_if_changed("file");
        }
        if (m_stop_at && now >= *m_stop_at) {
            m_log.info("stopped");
            m_out.flush();
            m_io.stop();
            return;
        }
        m_tick_due = m_clock.now() + tick_period;
        m_tick.expires_after(tick_period);
        m_tick.async_wait([this](const boost::system::error_code& e) {
            if (!e) {
                tick();
            }
        });
    }

    void report_dropped_lines() {
        const auto dropped = m_out.dropped();
        if (dropped != m_reported_drops) {
            m_log.warning("log_lines_dropped",
                          {{"count", dropped - m_reported_drops}});
            m_reported_drops = dropped;
        }
    }

    void wait_for_signal() {
        m_signals.async_wait(
            [this](const boost::system::error_code& e, int number) {
                if (e) {
                    return;
                }
                if (number == SIGHUP) {
                    reload_if_changed("signal");
                } else {
                    stop(number);
                }
                wait_for_signal();
            });
    }

    void stop(int signal) {
        if (m_stop_at) {
            m_log.warning("stopped_at_once", {{"signal", signal}});
            m_io.stop();
            return;
        }
        const auto now = m_clock.now();
        m_stop_at = now + m_settings.stop_grace - stop_margin;
        m_log.info("stopping", {{"signal", signal},
                                {"grace_ms", m_settings.stop_grace.count()}});
        m_announcer.withdraw();
        announce();
        m_traffic.stop(*m_stop_at, [this] {
            boost::asio::post(m_io, [this] { m_stop_at = m_clock.now(); });
        });
    }

    void reload_if_changed(std::string_view cause) {
        const auto stamp = file_stamp(m_options.settings_path);
        if (stamp == m_settings_stamp && cause == "file") {
            return;
        }
        m_settings_stamp = stamp;
        const auto read = read_file(m_options.settings_path);
        if (!read) {
            return m_log.error(
                "settings_rejected",
                {{"cause", cause}, {"problem", read.error().text()}});
        }
        // Addresses and names hold until the next start.
        m_settings.limits = read.value().limits;
        m_settings.stop_grace = read.value().stop_grace;
        m_traffic.set_limits(m_settings.limits);
        m_follower.set_confirms_configuration(
            m_settings.limits.revocation_bound > milliseconds::zero());
        m_log.info("settings_reloaded", {{"cause", cause}});
    }

    boost::asio::io_context& m_io;
    settings m_settings;
    control_options m_options;
    store::client& m_store;
    traffic& m_traffic;
    control_counts& m_counts;
    const base::clock& m_clock;
    log::logger m_log;
    log::line_writer& m_out;
    boost::asio::steady_timer m_tick;
    base::time_point m_tick_due = m_clock.now();
    boost::asio::signal_set m_signals;
    fleet::fleet_state m_beliefs;
    value_log m_values;
    fleet::follower m_follower;
    relay::client m_asker;
    std::optional<relay::listener> m_relay_listener;
    fleet::relay_choice m_relay;
    fleet::announcer m_announcer;
    std::unique_ptr<store::open_watch> m_watch;
    std::pair<std::int64_t, std::uint64_t> m_settings_stamp;
    base::time_point m_settings_checked{};
    std::uint64_t m_reported_drops = 0;
    bool m_changed = false;
    base::time_point m_published_contact{};
    base::boot_time m_published_confirmation{};
    base::time_point m_polled_at{}; // the relay
    bool m_store_reached = true;
    bool m_keys_fresh = m_settings.limits.revocation_bound.count() == 0;
    std::optional<base::time_point> m_stop_at;
    quota_ledger m_quotas;
    exchange_driver m_exchange;
};

control::control(boost::asio::io_context& io, settings s, control_options o,
                 store::client& store, traffic& t, control_counts& counts,
                 const base::clock& clock, log::logger log,
                 log::line_writer& out)
    : m_loop(std::make_unique<loop>(io, std::move(s), std::move(o), store, t,
                                    counts, clock, std::move(log), out)) {}

control::~control() = default;

void control::run() {
    m_loop->run();
}

} // namespace pollenreel::entry
