// Makes all decisions about requests on one traffic thread. Takes events with
// the time at which they occurred and returns effects that a driver executes in
// order. Uses no sockets, threads or clocks; the daemon's traffic thread is one
// driver, tests and benchmarks are others.
//
//   request::core c({.seed = seed});
//   for (auto& e : c.handle(request::snapshot_changed{s}, now)) run(e);
//
// A driver passes one event at a time and executes its effects before it passes
// the next one. It passes a `tick` no later than `next_wakeup()`.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/request/attempt_budget.hpp"
#include "pollenreel/request/attempt_messages.hpp"
#include "pollenreel/request/choose_target.hpp"
#include "pollenreel/request/lanes.hpp"
#include "pollenreel/request/latency_histogram.hpp"
#include "pollenreel/request/service_plan.hpp"
#include "pollenreel/request/target_tracker.hpp"
#include "pollenreel/request/types.hpp"
#include "pollenreel/shift/admission_controller.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace pollenreel::request {

// Events.
struct snapshot_changed {
    routing::snapshot_ptr snapshot;
};
struct allowances_changed {
    shift::allowances_ptr allowances;
};
struct caller_gone {
    base::request_id request;
};
struct tick {};
struct stop_requested {};

using event =
    std::variant<snapshot_changed, allowances_changed, incoming_request,
                 attempt_connected, attempt_connect_failed, attempt_answered,
                 attempt_lost, caller_gone, tick, stop_requested>;

// Effects.
struct refuse_request { // respond to the caller without a target
    base::request_id request;
    request::refusal refusal;
};

using effect = std::variant<open_attempt, send_attempt, abandon_attempt,
                            forward_response, refuse_request>;
using effects = std::vector<effect>;

// Totals since construction.
struct counters {
    std::uint64_t requests = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;    // included in attempts
    std::uint64_t hedges = 0;     // included in attempts
    std::uint64_t hedges_won = 0; // responded before the first attempt
    std::uint64_t queued = 0;     // queued at this entry
    std::uint64_t shed = 0;       // refused for lack of capacity
};

struct options {
    std::uint64_t seed = 0;
    target_policy policy = cold_first{};
    thread_position thread = {};
};

class core {
public:
    explicit core(options o);

    [[nodiscard]] effects handle(const event& e, base::time_point now);

    // When the next `tick` is due; empty if none is before another event.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t requests_in_flight() const;
    // Traffic sent to each region since the previous call.
    [[nodiscard]] shift::traffic_report take_traffic_report() {
        return m_spender.take_report();
    }
    [[nodiscard]] const counters& counts() const { return m_counters; }

private:
    enum class timer { deadline, hedge, recheck };
    enum class attempt_cause { first, retry, hedge };
    struct pending_request {
        classified_request request;
        shift::admission destination;
        std::vector<base::attempt_id> open_attempts;
        std::vector<base::target_id> tried_targets;
        std::optional<base::time_point> hedge_at;
        std::optional<base::time_point> recheck_at;
        base::time_point arrived_at;
        base::region_id region;
        request::lane lane = lane::short_work;
        bool running = false;      // if false, it is queued
        bool on_lent_slot = false; // long work on a target for short work
        bool may_have_run = false; // in an attempt that has ended
    };
    struct attempt_state {
        request::attempt machine;
        base::request_id request;
        base::time_point started_at;
        bool is_hedge = false;
        std::optional<std::uint64_t> response_bytes; // set when complete
    };
    // The lanes of one service in one region.
    struct pool {
        service_plan plan;
        request::lanes lanes;
    };
    // Latency and budgets of one kind of work of one service.
    struct kind_state {
        latency_histogram latency;
        attempt_budget hedge_budget{hedge_budget_capacity};
        attempt_budget retry_budget{retry_budget_capacity};
    };
    using kind_key = std::pair<base::service_id, base::kind_id>;
    using pool_key = std::pair<base::service_id, base::region_id>;
    // Capacity of the budgets, which bounds bursts of extra attempts.
    static constexpr std::uint32_t hedge_budget_capacity = 10;
    static constexpr std::uint32_t retry_budget_capacity = 10;

    void on(const snapshot_changed& e, base::time_point now, effects& out);
    void on(const incoming_request& e, base::time_point now, effects& out);
    void on(const allowances_changed& e, base::time_point now, effects& out);
    void on(const attempt_connected& e, base::time_point now, effects& out);
    void on(const attempt_connect_failed& e, base::time_point now,
            effects& out);
    void on(const attempt_answered& e, base::time_point now, effects& out);
    void on(const attempt_lost& e, base::time_point now, effects& out);
    void on(const caller_gone& e, base::time_point now, effects& out);
    void on(const tick& e, base::time_point now, effects& out);
    void on(const stop_requested& e, base::time_point now, effects& out);

    // Starts the warm-up of targets that newly accept work.
    void begin_slow_starts(const routing::snapshot& before,
                           base::time_point now);
    kind_state& state_for(const classified_request& c);
    pool& pool_for(const pending_request& pending);
    // Starts the request, or queues it in its lane.
    void start_or_enqueue(pending_request& pending, base::time_point now,
                          effects& out);
    // Whether the request could start now.
    [[nodiscard]] bool has_capacity(const pending_request& pending,
                                    const pool& service_pool) const;
    void start(pending_request& pending, base::time_point now, effects& out);
    void enqueue(pending_request& pending, pool& service_pool,
                 base::time_point now, effects& out);
    // Starts queued requests in every pool whose capacity may have changed.
    void start_queued(base::time_point now, effects& out);
    // Starts, or refuses, the lane's first queued request; false if none is
    // queued or it must keep waiting.
    bool start_next(pool& service_pool, lane l, base::time_point now,
                    effects& out);
    void schedule_recheck(pending_request& pending, base::time_point now);
    void leave_lane(const pending_request& pending, base::time_point now);
    // Opens one attempt; returns a refusal if that is not possible.
    std::optional<refusal> start_attempt(pending_request& pending,
                                         attempt_cause cause,
                                         base::time_point now, effects& out);
    // Targets that the request should preferably use, given its lane.
    [[nodiscard]] std::vector<base::target_id>
    preferred_targets(const pending_request& pending,
                      const pool& service_pool) const;
    void update_lending(pending_request& pending,
                        const base::target_id& target);
    void schedule_hedge(pending_request& pending, base::time_point now);
    void start_hedge(base::request_id id, base::time_point now, effects& out);
    void apply_step(base::attempt_id id, attempt::step step,
                    base::time_point now, effects& out);
    void forward(base::attempt_id id, base::time_point now, effects& out);
    void handle_failure(base::attempt_id id, base::time_point now,
                        effects& out);
    // Cancels all open attempts of the request and refuses it.
    void end_request(base::request_id id, reason cause, base::time_point now,
                     effects& out);
    void cancel_attempt(base::attempt_id id, reason cause, base::time_point now,
                        effects& out);
    void refuse(base::request_id id, refusal r, base::time_point now,
                effects& out);
    void erase_attempt(base::attempt_id id, base::time_point now);
    void erase_request(base::request_id id, base::time_point now);

    options m_options;
    routing::snapshot_ptr m_snapshot;
    base::random m_random;
    base::attempt_id m_last_attempt;
    bool m_stopping = false;
    counters m_counters;
    boost::unordered_flat_map<base::request_id, pending_request> m_pending;
    boost::unordered_flat_map<base::attempt_id, attempt_state> m_attempts;
    std::set<std::tuple<base::time_point, base::request_id, timer>> m_timers;
    target_tracker m_targets;
    shift::admission_controller m_spender;
    std::map<kind_key, kind_state> m_kinds;
    std::map<pool_key, pool> m_pools;
    std::set<pool*> m_pools_to_recheck;
};

} // namespace pollenreel::request
