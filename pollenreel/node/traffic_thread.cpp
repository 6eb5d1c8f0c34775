#include "pollenreel/node/traffic_thread.hpp"

#include "pollenreel/asio/wakeup.hpp"
#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/egress/target_pool.hpp"
#include "pollenreel/http/server.hpp"
#include "pollenreel/log/rate_limit.hpp"
#include "pollenreel/lookup/table.hpp"
#include "pollenreel/node/caller_interface.hpp"
#include "pollenreel/node/headers.hpp"
#include "pollenreel/node/traffic_metrics.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <mutex>
#include <optional>
#include <thread>

#include <pthread.h>
#include <time.h>

namespace pollenreel::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds housekeeping_period{100};
// The request core expires attempts; the exchange's own time-out must not come
// first, since it discards a response that can be read at the deadline.
constexpr milliseconds answer_slack{1000};
constexpr std::uint32_t answer_header_bytes = 64 * 1024;

http::server_options server_options(const settings::settings& s) {
    http::server_options o;
    o.listen = s.traffic.listen;
    o.limits = {static_cast<std::uint32_t>(s.traffic.max_header_bytes),
                s.traffic.max_body_bytes};
    o.max_connections = s.traffic.max_callers;
    o.idle_timeout = s.traffic.idle_timeout;
    o.share_port = s.traffic.threads > 1;
    o.refusal_headers = {{std::string(header_outcome), "not-run"},
                         {std::string(header_reason), "bad-request"}};
    return o;
}

egress::target_pool_options pool_options(const settings::settings& s) {
    egress::target_pool_options o;
    o.response_limits = {answer_header_bytes, s.traffic.max_body_bytes};
    return o;
}

request::response_info facts_of(const http::response& r,
                                std::string_view request_id) {
    request::response_info facts;
    facts.status = r.status;
    facts.shed = http::find(r.headers, header_shed).has_value();
    facts.id_matches = http::find(r.headers, header_request_id) == request_id;
    facts.echoes_id = facts.id_matches;
    return facts;
}

} // namespace

class traffic_thread::loop {
public:
    loop(traffic_options options, const base::clock& clock, log::logger log)
        : m_options(std::move(options)), m_clock(clock), m_log(std::move(log)),
          m_core({.seed = m_options.seed, .thread = m_options.place}),
          m_wakeup(m_io, [this] { on_due(); }), m_housekeeping(m_io),
          m_server(m_io, server_options(m_options.settings),
                   [this](http::request r, http::responder answer) {
                       on_request(std::move(r), std::move(answer));
                   }),
          m_targets(m_io, m_clock, pool_options(m_options.settings), facts_of,
                    [this](const request::attempt_event& e) {
                        std::visit([&](const auto& one) { handle(one); }, e);
                    }) {}

    base::result<void> start() {
        BOOST_OUTCOME_TRY(m_server.start());
        keep_house();
        m_thread = std::thread([this] { run(); });
        return boost::outcome_v2::success();
    }

    void publish(routing::snapshot_ptr s) {
        boost::asio::post(m_io, [this, s = std::move(s)] {
            m_table.emplace(s);
            m_metrics.use(s);
            handle(request::snapshot_changed{s});
        });
    }

    void publish(shift::allowances_ptr a) {
        boost::asio::post(m_io, [this, a = std::move(a)] {
            handle(request::allowances_changed{a});
        });
    }

    shift::traffic_report take_traffic() {
        const std::lock_guard guard(m_counters_mutex);
        return shift::take(m_traffic);
    }

    void stop() {
        boost::asio::post(m_io, [this] {
            m_stopping = true;
            m_server.stop();
        });
    }

    void join() {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    metrics::readings readings() const { return m_metrics.read(); }
    [[nodiscard]] std::chrono::nanoseconds processor_time() {
        clockid_t id{};
        timespec used{};
        if (::pthread_getcpuclockid(m_thread.native_handle(), &id) != 0 ||
            ::clock_gettime(id, &used) != 0) {
            return std::chrono::nanoseconds(0);
        }
        return std::chrono::seconds(used.tv_sec) +
               std::chrono::nanoseconds(used.tv_nsec);
    }

    traffic_counters counters() const {
        const std::lock_guard guard(m_counters_mutex);
        return m_counters;
    }

private:
    // An exception that escapes a handler ends that handler, not the thread.
    void run() {
        while (!m_io.stopped()) {
            try {
                m_io.run();
            } catch (const std::exception& e) {
                m_log.error("handler failed", {{"problem", e.what()}});
            }
        }
    }

    struct waiting {
        http::request request;
        std::string path;
        std::string id;
        std::optional<http::responder> answer;
    };

    void on_request(http::request r, http::responder answer) {
        m_last_id = m_last_id.next();
        auto call = read_call(r, m_last_id);
        std::visit(base::overloaded{
                       [&](const lookup_call& c) { answer(look_up(c)); },
                       [&](service_call& c) {
                           const auto id = c.arrival.id;
                           answer.on_gone([this, id] {
                               handle(request::caller_gone{id});
                           });
                           m_waiting[id] = {std::move(r), std::move(c.path),
                                            m_options.request_id_prefix + "." +
                                                std::to_string(id.value()),
                                            std::move(answer)};
                           m_metrics.arrived(c.arrival, m_clock.now());
                           handle(c.arrival);
                       },
                       [&](const health_call&) {
                           answer({200, {}, "ok\n"});
                       },
                       [&](const bad_call& b) { answer(bad_call_answer(b)); },
                   },
                   call);
    }

    http::response look_up(const lookup_call& c) {
        ++m_lookups;
        const std::string* body = nullptr;
        if (m_table) {
            body = std::visit(
                [&](const auto& from) {
                    return m_table->find(c.service, from);
                },
                c.from);
        }
        if (body == nullptr) {
            return bad_call_answer({404, "no such service or failure domain"});
        }
        return {200, {{"Content-Type", "application/json"}}, *body};
    }

    // A response that can be read when its request expires is still delivered.
    void on_due() {
        if (m_targets.must_read_first()) {
            return boost::asio::post(m_io, [this] { on_due(); });
        }
        handle(request::tick{});
    }

    void handle(const request::event& e) {
        for (const auto& effect : m_core.handle(e, m_clock.now())) {
            std::visit([&](const auto& one) { run(one); }, effect);
        }
        forget_failed(e);
        m_wakeup.arm(m_core.next_wakeup());
    }

    // A failed attempt has no effect of its own.
    void forget_failed(const request::event& e) {
        if (const auto* lost = std::get_if<request::attempt_lost>(&e)) {
            m_request_of.erase(lost->attempt);
        }
        if (const auto* f = std::get_if<request::attempt_connect_failed>(&e)) {
            m_request_of.erase(f->attempt);
        }
        if (const auto* a = std::get_if<request::attempt_answered>(&e)) {
            m_request_of.erase(a->attempt);
        }
    }

    void run(const request::open_attempt& e) {
        m_targets.open(e);
        m_metrics.opened(e);
        m_request_of[e.attempt] = e.request;
    }

    void run(const request::send_attempt& e) {
        const auto id = m_request_of.at(e.attempt);
        const auto& w = m_waiting.at(id);
        // A busy loop learns of it only after what is queued before.
        if (w.answer && w.answer->has_caller_left()) {
            return boost::asio::post(
                m_io, [this, id] { handle(request::caller_gone{id}); });
        }
        m_targets.send(e.attempt,
                       to_target(w.request, w.path, w.id, e.time_left), w.id,
                       e.time_left + answer_slack);
    }

    void run(const request::abandon_attempt& e) {
        const auto abandoned = m_targets.abandon(e.attempt);
        if (abandoned && m_abandoned_lines.allow(m_clock.now())) {
            log_abandoned(e.attempt, *abandoned);
        }
        m_request_of.erase(e.attempt);
    }

    void log_abandoned(base::attempt_id attempt,
                       const egress::abandoned_attempt& a) {
        using json = boost::json::value;
        const auto handed_over = a.bytes ? json(a.bytes->handed_over) : json();
        const auto unacknowledged =
            a.bytes ? json(a.bytes->unacknowledged) : json();
        m_log.info("attempt abandoned",
                   {{"attempt", attempt.value()},
                    {"age_ms",
                     std::chrono::duration_cast<milliseconds>(a.age).count()},
                    {"bytes_handed_over", handed_over},
                    {"bytes_unacknowledged", unacknowledged}});
    }

    void run(const request::forward_response& e) {
        auto answer = to_caller(m_targets.take_response(e.attempt));
        m_request_of.erase(e.attempt);
        m_metrics.answered(e.request, e.attempt, answer.status, m_clock.now());
        reply(e.request, std::move(answer));
    }

    void run(const request::refuse_request& e) {
        m_metrics.refused(e.request, e.refusal.outcome, m_clock.now());
        reply(e.request, refusal_answer(e.refusal));
    }

    void reply(base::request_id id, http::response r) {
        const auto found = m_waiting.find(id);
        r.headers.push_back({std::string(header_instance),
                             m_options.settings.instance.id.str()});
        const auto answer = std::move(found->second.answer);
        m_waiting.erase(found);
        (*answer)(std::move(r));
    }

    void keep_house() {
        m_targets.close_expired();
        {
            const std::lock_guard guard(m_counters_mutex);
            shift::add(m_traffic, m_core.take_traffic_report());
            m_counters = {m_lookups, m_server.counters().malformed,
                          m_core.requests_in_flight(), m_server.connections(),
                          m_core.counts()};
        }
        if (m_stopping && m_server.connections() == 0 && m_waiting.empty()) {
            m_io.stop();
            return;
        }
        m_housekeeping.expires_after(housekeeping_period);
        m_housekeeping.async_wait(
            [this](const boost::system::error_code&) { keep_house(); });
    }

    traffic_options m_options;
    const base::clock& m_clock;
    log::logger m_log;
    boost::asio::io_context m_io{1};
    request::core m_core;
    asio::wakeup m_wakeup;
    boost::asio::steady_timer m_housekeeping;
    http::server m_server;
    egress::target_pool m_targets;
    traffic_metrics m_metrics;
    log::rate_limit m_abandoned_lines{10}; // lines a second
    std::optional<lookup::table> m_table;
    boost::unordered_flat_map<base::request_id, waiting> m_waiting;
    boost::unordered_flat_map<base::attempt_id, base::request_id> m_request_of;
    base::request_id m_last_id;
    std::uint64_t m_lookups = 0;
    bool m_stopping = false;
    mutable std::mutex m_counters_mutex;
    traffic_counters m_counters;
    shift::traffic_report m_traffic; // not yet taken
    std::thread m_thread;
};

traffic_thread::traffic_thread(traffic_options options,
                               const base::clock& clock, log::logger log)
    : m_loop(
          std::make_unique<loop>(std::move(options), clock, std::move(log))) {}

traffic_thread::~traffic_thread() {
    join();
}

base::result<void> traffic_thread::start() {
    return m_loop->start();
}

void traffic_thread::publish(routing::snapshot_ptr s) {
    m_loop->publish(std::move(s));
}

void traffic_thread::stop() {
    m_loop->stop();
}

void traffic_thread::publish(shift::allowances_ptr a) {
    m_loop->publish(std::move(a));
}

shift::traffic_report traffic_thread::take_traffic() {
    return m_loop->take_traffic();
}

traffic_counters traffic_thread::counters() const {
    return m_loop->counters();
}

metrics::readings traffic_thread::readings() const {
    return m_loop->readings();
}

std::chrono::nanoseconds traffic_thread::processor_time() const {
    return m_loop->processor_time();
}

void traffic_thread::join() {
    m_loop->join();
}

} // namespace pollenreel::node
