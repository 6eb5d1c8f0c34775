#include "pollenreel/entry/traffic.hpp"

#include "pollenreel/asio/wakeup.hpp"
#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/egress/target_pool.hpp"
#include "pollenreel/entry/loop_delay.hpp"
#include "pollenreel/entry/request_log.hpp"
#include "pollenreel/entry/traffic_metrics.hpp"
#include "pollenreel/fleet/directory.hpp"
#include "pollenreel/http/server.hpp"
#include "pollenreel/relay/check_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace pollenreel::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds housekeeping_period{250};
constexpr milliseconds log_report_period{1000};
// New connections are still taken for this long after the instance began to
// leave: callers hold older answers of the directory.
constexpr milliseconds lame_duck_time{1500};
// Requests of one connection that are worked on at once.
constexpr std::size_t max_pipelined = 16;
// Connections of the platform's checks and of look-ups.
constexpr std::size_t max_other_connections = 500;
constexpr std::size_t most_directory_addresses = 64;
constexpr std::size_t megabyte = std::size_t{1024} * 1024;
constexpr std::size_t memory_per_body_budget = 4;
constexpr std::size_t memory_per_response_budget = 8;
constexpr std::uint32_t answer_header_bytes = 64 * 1024;
constexpr std::uint64_t answer_body_bytes = 64ULL * 1024 * 1024;
// Longer than most targets keep a connection, so that what they announce
// decides.
constexpr milliseconds max_announced_idle{20'000};
constexpr http::limits small_messages{8 * 1024, 8ULL * 1024};

http::server_options listener(const base::endpoint& at, std::size_t most,
                              const http::limits& l) {
    http::server_options o;
    o.listen = at;
    o.limits = l;
    o.max_connections = most;
    return o;
}

http::server_options callers_listener(const settings& s,
                                      http::header_filter filter) {
    const routes::caller_limits defaults;
    auto o = listener(s.callers, s.max_callers,
                      {defaults.header_bytes, defaults.body_bytes});
    o.header_timeout = defaults.header_timeout;
    o.idle_timeout = defaults.idle_timeout;
    o.max_pipelined = max_pipelined;
    o.header_filter = std::move(filter);
    // A body is held twice while it is sent to a target; the other half of the
    // memory is for responses and everything else.
    o.budget = std::make_shared<http::receive_budget>(s.memory_mb * megabyte /
                                                      memory_per_body_budget);
    return o;
}

egress::target_pool_options pool_options(const settings& s) {
    egress::target_pool_options o;
    o.response_limits = {answer_header_bytes, answer_body_bytes};
    o.connections.max_idle = s.target_idle;
    o.connections.max_announced_idle = max_announced_idle;
    o.connections.max_proven_idle = s.proven_idle;
    o.allow_close_delimited = true;
    o.skip_mismatched = true;
    o.max_receiving_bytes = s.memory_mb * megabyte / memory_per_response_budget;
    return o;
}

dispatch::options core_options(const settings& s) {
    std::set<base::region_id> regions;
    for (const auto& [domain, region] : s.regions) {
        regions.insert(region);
    }
    return {std::random_device{}(), s.id,     s.region,
            regions.size(),         s.limits, s.configuration_bound,
            s.departure_bound};
}

} // namespace

class traffic::loop {
public:
    loop(const settings& s, const protocol& p, const base::clock& clock,
         const log::logger& log, const control_counts& counts)
        : m_settings(s), m_protocol(p), m_clock(clock), m_log(log),
          m_requests(log), m_control(counts), m_core(core_options(s)),
          m_wakeup(m_io, [this] { on_due(); }), m_housekeeping(m_io),
          m_callers(m_io,
                    callers_listener(s,
                                     [this](const http::request& r) {
                                         return refuse_before_body(r);
                                     }),
                    [this](http::request r, http::responder answer) {
                        on_request(std::move(r), std::move(answer));
                    }),
          m_readiness(
              m_io,
              listener(s.readiness, max_other_connections, small_messages),
              [this](const http::request& r, const http::responder& answer) {
                  answer(readiness(r));
              }),
          m_directory(
              m_io,
              listener(s.directory, max_other_connections, small_messages),
              [this](const http::request& r, const http::responder& answer) {
                  answer(look_up(r));
              }),
          m_metrics_listener(
              m_io, listener(s.metrics, max_other_connections, small_messages),
              [this](const http::request&, const http::responder& answer) {
                  answer(metrics_page());
              }),
          m_check_client(m_io, clock),
          m_targets(
              m_io, clock, pool_options(s),
              [this](const http::response& r, std::string_view id) {
                  return m_protocol.read_answer(r, id);
              },
              [this](const request::attempt_event& e) {
                  std::visit([&](const auto& one) { handle(one); }, e);
              },
              [this](const http::response& r, const base::target_id& expected) {
                  return m_protocol.read_check(r, expected);
              },
              [this](const request::chosen_target& target,
                     const std::vector<base::endpoint>& peers,
                     egress::check_handler done) {
                  m_check_client.ask(target, peers, std::move(done));
              }) {}

    base::result<void> start() {
        BOOST_OUTCOME_TRY(m_callers.start());
        BOOST_OUTCOME_TRY(m_readiness.start());
        BOOST_OUTCOME_TRY(m_directory.start());
        BOOST_OUTCOME_TRY(m_metrics_listener.start());
        keep_house();
        m_thread = std::thread([this] { run(); });
        return boost::outcome_v2::success();
    }

    void publish(fleet::view_ptr v) {
        boost::asio::post(m_io, [this, v = std::move(v), at = m_clock.now()] {
            const auto waited = m_clock.now() - at;
            if (waited >= loop_delay::report_threshold) {
                m_log.warning("view_taken_late",
                              {{"waited_ms",
                                std::chrono::duration_cast<milliseconds>(waited)
                                    .count()}});
            }
            log_new_evacuations(*v, waited);
            const bool is_new = has_new_routes(*v);
            take(v);
            if (is_new) {
                log_new_routes(at, waited);
            }
        });
    }

    void set_limits(const dispatch::fleet_limits& l) {
        boost::asio::post(m_io, [this, l] {
            m_revocation_bound = l.revocation_bound;
            handle(dispatch::limits_changed{l});
        });
    }

    void make_report(bool whole,
                     std::function<void(fleet::exchange_report)> done) {
        boost::asio::post(m_io, [this, whole, done = std::move(done)] {
            const auto now = m_clock.now();
            done({m_core.report_usage(whole, now)
                      .value_or(quota::usage_report{m_settings.id, 0, {}}),
                  m_core.take_load_news(now)});
        });
    }

    void on_news(fleet::exchange_news news) {
        boost::asio::post(m_io, [this, news = std::move(news)] {
            handle(dispatch::usage_news_received{news.usage});
            if (!news.loads.empty()) {
                handle(dispatch::loads_shared{news.loads});
            }
        });
    }

    void check_target(const request::chosen_target& target,
                      egress::check_handler done) {
        boost::asio::post(m_io, [this, target, done = std::move(done)] {
            const auto path = m_core.check_path_for(target);
            if (!path) {
                return done({});
            }
            ++m_checks_for_others;
            m_targets.check_for_peer(target, *path, done);
        });
    }

    void stop(base::time_point until, std::function<void()> ended) {
        boost::asio::post(m_io, [this, until, ended = std::move(ended)] {
            m_ended = ended;
            m_stop_at = until;
            m_close_at = std::min(until, m_clock.now() + lame_duck_time);
            handle(dispatch::stop_requested{until});
            m_callers.drain();
        });
    }

    void join() {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    struct waiting {
        http::request request;
        std::string caller_id;
        base::time_point arrived;
        std::optional<http::responder> answer;
        dispatch::caller_identity identity{}; // set with the first attempt
    };

    // An exception that escapes a handler ends that handler, not the thread.
    void run() {
        while (!m_io.stopped()) {
            try {
                m_io.run();
            } catch (const std::exception& e) {
                m_log.error("handler_failed", {{"problem", e.what()}});
            }
        }
    }

    // Before `v` is taken. The attempts under way there end or are abandoned as
    // they connect.
    void log_new_evacuations(const fleet::view& v, base::duration waited) {
        for (const auto& domain : v.evacuated_domains) {
            if (m_view && is_evacuated(*m_view, domain)) {
                continue;
            }
            const auto attempts = std::count_if(
                m_request_of.begin(), m_request_of.end(), [&](const auto& a) {
                    return a.second.failure_domain == domain;
                });
            m_log.info(
                "evacuation_applied",
                {{"failure_domain", domain.str()},
                 {"waited_ms",
                  std::chrono::duration_cast<milliseconds>(waited).count()},
                 {"attempts", attempts}});
        }
    }

    static bool is_evacuated(const fleet::view& v,
                             const base::failure_domain_id& domain) {
        return std::find(v.evacuated_domains.begin(), v.evacuated_domains.end(),
                         domain) != v.evacuated_domains.end();
    }

    [[nodiscard]] bool has_new_routes(const fleet::view& v) const {
        return v.routes && (!m_view || m_view->routes != v.routes);
    }

    // After they were taken.
    void log_new_routes(base::time_point published_at,
                        base::duration waited) const {
        const auto in_ms = [](base::duration d) {
            return std::chrono::duration_cast<milliseconds>(d).count();
        };
        m_log.info("configuration_applied",
                   {{"version", m_view->routes->source().version.value()},
                    {"waited_ms", in_ms(waited)},
                    {"took_ms", in_ms(m_clock.now() - published_at - waited)}});
    }

    void take(const fleet::view_ptr& v) {
        const bool new_routes = has_new_routes(*v);
        m_view = v;
        if (new_routes) {
            const auto& l = v->routes->source().limits;
            m_callers.set_limits({l.header_bytes, l.body_bytes},
                                 l.header_timeout, l.idle_timeout);
        }
        handle(dispatch::view_changed{v});
        connect_to_check_peers();
    }

    // So that the first questions need not wait for connections.
    void connect_to_check_peers() {
        auto peers = m_core.check_peers();
        for (const auto& p : peers) {
            if (std::find(m_check_peers.begin(), m_check_peers.end(), p) ==
                m_check_peers.end()) {
                m_check_client.connect(p);
            }
        }
        m_check_peers = std::move(peers);
    }

    void on_request(http::request r, http::responder answer) {
        // A busy loop may read a request long after its caller gave up.
        if (answer.has_caller_left()) {
            ++m_left_unread;
            return;
        }
        m_last_id = m_last_id.next();
        auto carried = m_protocol.read_request(r, m_last_id);
        carried.arrival.read_at = m_clock.boot_now();
        const auto id = m_last_id;
        answer.on_gone([this, id] { on_caller_left(id); });
        m_waiting[id] = {std::move(r), std::move(carried.caller_id),
                         m_clock.now(), std::move(answer)};
        handle(carried.arrival);
    }

    void on_caller_left(base::request_id id) {
        const auto found = m_waiting.find(id);
        if (found == m_waiting.end()) {
            return;
        }
        const auto now = m_clock.now();
        const auto attempts = std::count_if(
            m_request_of.begin(), m_request_of.end(),
            [&](const auto& a) { return a.second.request == id; });
        m_requests.caller_left({id, found->second.caller_id},
                               now - found->second.arrived,
                               static_cast<std::size_t>(attempts), now);
        handle(dispatch::caller_gone{id});
        m_waiting.erase(id);
    }

    std::optional<http::response> refuse_before_body(const http::request& r) {
        m_last_id = m_last_id.next();
        auto carried = m_protocol.read_request(r, m_last_id);
        carried.arrival.read_at = m_clock.boot_now();
        const auto now = m_clock.now();
        const auto refused = m_core.refuse_before_body(carried.arrival, now);
        if (!refused) {
            return std::nullopt;
        }
        m_requests.refused({m_last_id, carried.caller_id}, *refused,
                           m_view.get(), now);
        m_metrics.refused(*refused, base::duration::zero());
        return m_protocol.refusal(*refused);
    }

    http::response readiness(const http::request& r) const {
        if (std::holds_alternative<bad_request>(m_protocol.read_readiness(r))) {
            return {404, {}, ""};
        }
        return {m_core.ready() ? 200U : 503U, {}, ""};
    }

    http::response look_up(const http::request& r) {
        const auto asked = m_protocol.read_lookup(r);
        if (const auto* bad = std::get_if<bad_request>(&asked)) {
            return {400, {}, bad->why + "\n"};
        }
        ++m_lookups;
        const auto& from = std::get<lookup_request>(asked);
        const auto found =
            m_view ? select_instances(from) : std::vector<base::endpoint>();
        if (found.empty()) {
            return {503, {}, ""};
        }
        return m_protocol.lookup_answer(found, m_settings.lookup_time_to_live);
    }

    std::vector<base::endpoint>
    select_instances(const lookup_request& from) const {
        fleet::caller_location at{from.region, from.failure_domain};
        if (m_view->routes) {
            at.home_regions = m_view->routes->homes_of(from.host);
        }
        return fleet::select_instances(known_instances(), at,
                                       most_directory_addresses);
    }

    // Those that the store names, and this one while it serves, or knows no
    // other.
    std::vector<fleet::instance> known_instances() const {
        auto all = m_view->instances;
        std::erase_if(all,
                      [&](const auto& i) { return i.id == m_settings.id; });
        if (m_core.ready() &&
            (all.empty() || m_core.are_keys_fresh(m_clock.boot_now()))) {
            all.push_back(m_settings.self());
        }
        return all;
    }

    http::response metrics_page() const {
        return {
            200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            metrics_text(
                {m_core.counts(), m_metrics.read(), m_core.requests_in_flight(),
                 m_callers.connections(), m_callers.counters().malformed,
                 m_left_unread, m_lookups, m_checks_for_others,
                 m_sent_to_evacuated, m_targets.connections(),
                 m_targets.opened_total(), m_targets.checked_by_peers_total(),
                 m_targets.receiving_bytes(), m_targets.cut_off_total(),
                 m_view.get(), m_clock.now(), m_control, m_delay.total(),
                 keys_age()})};
    }

    std::optional<base::duration> keys_age() const {
        if (!m_view || m_revocation_bound == milliseconds::zero()) {
            return std::nullopt;
        }
        return m_clock.boot_now() - m_view->configuration_confirmed_at;
    }

    // A response that can be read when its request expires is still delivered.
    void on_due() {
        if (m_targets.must_read_first()) {
            return boost::asio::post(m_io, [this] { on_due(); });
        }
        handle(dispatch::tick{});
    }

    void handle(const dispatch::event& e) {
        for (const auto& effect : m_core.handle(e, m_clock.now())) {
            std::visit([&](const auto& one) { run(one); }, effect);
        }
        m_wakeup.arm(m_core.next_wakeup());
    }

    void run(const dispatch::open_attempt& e) {
        auto& w = m_waiting.at(e.open.request);
        m_request_of[e.open.attempt] = {e.open.request, w.caller_id,
                                        e.record.target, e.record.service,
                                        e.record.failure_domain};
        w.identity = e.caller;
        m_requests.chosen({e.open.request, w.caller_id}, e, *m_view,
                          m_clock.now());
        m_targets.open(e.open);
    }

    void run(const request::send_attempt& e) {
        const auto& attempt = m_request_of.at(e.attempt);
        const auto& w = m_waiting.at(attempt.request);
        // A busy loop learns of it only after what is queued before.
        if (w.answer && w.answer->has_caller_left()) {
            return boost::asio::post(
                m_io, [this, id = attempt.request] { on_caller_left(id); });
        }
        if (is_evacuated(*m_view, attempt.failure_domain)) {
            ++m_sent_to_evacuated;
            m_log.error("request_sent_to_evacuated",
                        {{"request", w.caller_id},
                         {"target", attempt.target.str()},
                         {"failure_domain", attempt.failure_domain.str()}});
        }
        m_targets.send(e.attempt,
                       m_protocol.to_target(w.request, attempt.target,
                                            e.time_left, w.identity),
                       w.caller_id, e.time_left + answer_slack);
    }

    void run(const request::abandon_attempt& e) {
        const auto found = m_request_of.find(e.attempt);
        const auto abandoned = m_targets.abandon(e.attempt);
        if (found == m_request_of.end()) {
            return;
        }
        if (abandoned) {
            const auto& a = found->second;
            m_requests.abandoned({a.request, a.caller_id}, e.attempt, a.target,
                                 *abandoned, m_clock.now());
        }
        m_request_of.erase(found);
    }

    void run(const dispatch::attempt_failed& e) {
        m_requests.failed({e.request, m_waiting.at(e.request).caller_id}, e,
                          m_clock.now());
        m_request_of.erase(e.attempt);
    }

    void run(const dispatch::target_departing& e) {
        m_requests.target_departing(
            {e.request, m_waiting.at(e.request).caller_id}, e.target);
    }

    void run(const dispatch::target_backed_off& e) {
        m_requests.target_backed_off(
            {e.request, m_waiting.at(e.request).caller_id}, e, m_clock.now());
    }

    void run(const dispatch::target_limit_changed& e) {
        m_requests.target_limit_changed(
            {e.request, m_waiting.at(e.request).caller_id}, e, m_clock.now());
    }

    void run(const dispatch::target_restarted& e) {
        m_requests.target_restarted(e, m_clock.now());
    }

    void run(const dispatch::target_found_cold& e) {
        m_requests.target_found_cold(
            {e.request, m_waiting.at(e.request).caller_id}, e, m_clock.now());
    }

    void run(const dispatch::cold_target_used& e) {
        m_requests.cold_target_used(
            {e.request, m_waiting.at(e.request).caller_id}, e, m_clock.now());
    }

    void run(const request::forward_response& e) {
        auto answer = m_protocol.to_caller(m_targets.take_response(e.attempt));
        const auto& w = m_waiting.at(e.request);
        const auto now = m_clock.now();
        const auto& attempt = m_request_of.at(e.attempt);
        const auto took = now - w.arrived;
        const bool late = m_core.last_answer_late();
        m_requests.answered({e.request, w.caller_id}, e.attempt, answer.status,
                            took, late, now);
        m_metrics.answered(attempt.service, answer.status, took, !late);
        m_request_of.erase(e.attempt);
        reply(e.request, std::move(answer));
    }

    void run(const dispatch::refuse& e) {
        const auto& w = m_waiting.at(e.request);
        const auto now = m_clock.now();
        m_requests.refused({e.request, w.caller_id}, e, m_view.get(), now);
        m_metrics.refused(e, now - w.arrived);
        reply(e.request, m_protocol.refusal(e));
    }

    void reply(base::request_id id, http::response r) {
        const auto found = m_waiting.find(id);
        const auto answer = std::move(found->second.answer);
        m_waiting.erase(found);
        (*answer)(std::move(r));
    }

    void keep_house() {
        const auto now = m_clock.now();
        if (const auto late = m_delay.on_timer(m_housekeeping_due, now)) {
            m_log.warning("event_loop_delayed",
                          {{"thread", "traffic"}, {"late_ms", late->count()}});
        }
        m_targets.close_expired();
        if (now - m_log_reported >= log_report_period) {
            m_log_reported = now;
            m_requests.report_held_back();
        }
        if (m_close_at && now >= *m_close_at) {
            m_callers.stop();
        }
        const bool finished = m_callers.connections() == 0 && m_waiting.empty();
        if (m_stop_at &&
            (now >= *m_stop_at || (now >= *m_close_at && finished))) {
            m_log.info("traffic_ended", {{"cut", m_waiting.size()}});
            m_io.stop();
            m_ended();
            return;
        }
        m_housekeeping_due = m_clock.now() + housekeeping_period;
        m_housekeeping.expires_after(housekeeping_period);
        m_housekeeping.async_wait(
            [this](const boost::system::error_code&) { keep_house(); });
    }

    // An answer that a target gives at the deadline is still awaited so long.
    static constexpr milliseconds answer_slack{1000};

    struct attempt_of {
        base::request_id request;
        std::string caller_id; // outlives the request: a hedge that lost
        base::target_id target;
        base::service_id service;
        base::failure_domain_id failure_domain;
    };

    const settings& m_settings;
    const protocol& m_protocol;
    const base::clock& m_clock;
    log::logger m_log;
    request_log m_requests;
    const control_counts& m_control;
    boost::asio::io_context m_io{1};
    dispatch::core m_core;
    asio::wakeup m_wakeup;
    boost::asio::steady_timer m_housekeeping;
    http::server m_callers;
    http::server m_readiness;
    http::server m_directory;
    http::server m_metrics_listener;
    relay::check_client m_check_client;
    std::vector<base::endpoint> m_check_peers; // connected to
    egress::target_pool m_targets;
    traffic_metrics m_metrics;
    fleet::view_ptr m_view;
    boost::unordered_flat_map<base::request_id, waiting> m_waiting;
    boost::unordered_flat_map<base::attempt_id, attempt_of> m_request_of;
    std::optional<base::time_point> m_stop_at;
    std::function<void()> m_ended;
    std::optional<base::time_point> m_close_at;
    base::time_point m_log_reported{};
    base::time_point m_housekeeping_due = m_clock.now();
    loop_delay m_delay;
    base::request_id m_last_id;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_left_unread = 0; // requests whose caller had left before
    std::uint64_t m_checks_for_others = 0;
    std::uint64_t m_sent_to_evacuated = 0;
    milliseconds m_revocation_bound = m_settings.limits.revocation_bound;
    std::thread m_thread;
};

traffic::traffic(const settings& s, const protocol& p, const base::clock& clock,
                 const log::logger& log, const control_counts& counts)
    : m_loop(std::make_unique<loop>(s, p, clock, log, counts)) {}

traffic::~traffic() {
    join();
}

base::result<void> traffic::start() {
    return m_loop->start();
}

void traffic::publish(fleet::view_ptr v) {
    m_loop->publish(std::move(v));
}

void traffic::set_limits(const dispatch::fleet_limits& l) {
    m_loop->set_limits(l);
}

void traffic::make_report(bool whole,
                          std::function<void(fleet::exchange_report)> done) {
    m_loop->make_report(whole, std::move(done));
}

void traffic::on_news(fleet::exchange_news news) {
    m_loop->on_news(std::move(news));
}

void traffic::check_target(const request::chosen_target& target,
                           egress::check_handler done) {
    m_loop->check_target(target, std::move(done));
}

void traffic::stop(base::time_point until, std::function<void()> ended) {
    m_loop->stop(until, std::move(ended));
}

void traffic::join() {
    m_loop->join();
}

} // namespace pollenreel::entry
