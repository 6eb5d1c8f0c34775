// All decisions about requests on one traffic thread, behind one seam: events
// go in with the time at which they happened, effects come out for a driver
// to carry out in order. Knows no sockets, threads or clocks; the daemon's
// traffic thread is one driver, tests and benchmarks are others.
//
//   request::core c({.seed = seed});
//   for (auto& e : c.handle(request::snapshot_changed{s}, now)) run(e);
//
// Order: a driver passes events one at a time and carries out the effects of
// one before it passes the next. Between events it wakes the core with `tick`
// no later than `next_wakeup()`.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/request/attempt_messages.hpp"
#include "pollenreel/request/budget.hpp"
#include "pollenreel/request/choose_target.hpp"
#include "pollenreel/request/lanes.hpp"
#include "pollenreel/request/latency_histogram.hpp"
#include "pollenreel/request/service_plan.hpp"
#include "pollenreel/request/target_book.hpp"
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
    std::variant<snapshot_changed, allowances_changed, arrival,
                 attempt_connected, attempt_connect_failed, attempt_answered,
                 attempt_lost, caller_gone, tick, stop_requested>;

// Effects.
struct refuse_request { // answer the caller ourselves
    base::request_id request;
    request::refusal refusal;
};

using effect = std::variant<open_attempt, send_attempt, abandon_attempt,
                            forward_answer, refuse_request>;
using effects = std::vector<effect>;

// Counts since start.
struct counters {
    std::uint64_t requests = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;    // of the attempts
    std::uint64_t hedges = 0;     // of the attempts
    std::uint64_t hedges_won = 0; // answered before the first attempt
    std::uint64_t queued = 0;     // waited at this entry
    std::uint64_t shed = 0;       // refused here for want of room
};

struct options {
    std::uint64_t seed = 0;
    target_policy choose = cold_first{};
    thread_place place = {};
};

class core {
public:
    explicit core(options o);

    [[nodiscard]] effects handle(const event& e, base::time_point now);

    // When the core next needs a `tick`; empty: not before another event.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t requests_in_flight() const;
    // What was sent where since the previous call.
    [[nodiscard]] shift::traffic_report take_traffic() {
        return m_spender.take_report();
    }
    [[nodiscard]] const counters& counts() const { return m_counters; }

private:
    enum class timer { deadline, hedge, recheck };
    enum class cause { first, retry, hedge };
    struct pending {
        classified request;
        shift::admission way;
        std::vector<base::attempt_id> open;
        std::vector<base::target_id> tried;
        std::optional<base::time_point> hedge_at;
        std::optional<base::time_point> recheck_at;
        base::time_point arrived;
        base::region_id region;
        request::lane lane = lane::of_short;
        bool running = false;      // else it waits in its line
        bool lent = false;         // long work on a target of short work
        bool may_have_run = false; // by an attempt that is over
    };
    struct open {
        request::attempt machine;
        base::request_id request;
        base::time_point since;
        bool hedge = false;
        std::optional<std::uint64_t> answer_bytes; // once it is whole
    };
    // The lanes of one service in one region.
    struct pool {
        service_plan plan;
        request::lanes lanes;
    };
    // What is learnt of, and spent on, one kind of work of one service.
    struct kind_state {
        latency_histogram latency;
        budget hedges{hedge_reserve};
        budget retries{retry_reserve};
    };
    using kind_key = std::pair<base::service_id, base::kind_id>;
    using pool_key = std::pair<base::service_id, base::region_id>;
    // Extra attempts that may be made at once after quiet times.
    static constexpr std::uint32_t hedge_reserve = 10;
    static constexpr std::uint32_t retry_reserve = 10;

    void on(const snapshot_changed& e, base::time_point now, effects& out);
    void on(const arrival& e, base::time_point now, effects& out);
    void on(const allowances_changed& e, base::time_point now, effects& out);
    void on(const attempt_connected& e, base::time_point now, effects& out);
    void on(const attempt_connect_failed& e, base::time_point now,
            effects& out);
    void on(const attempt_answered& e, base::time_point now, effects& out);
    void on(const attempt_lost& e, base::time_point now, effects& out);
    void on(const caller_gone& e, base::time_point now, effects& out);
    void on(const tick& e, base::time_point now, effects& out);
    void on(const stop_requested& e, base::time_point now, effects& out);

    // Has the targets that take work again, or for the first time, warm up.
    void begin_slow_starts(const routing::snapshot& before,
                           base::time_point now);
    kind_state& state_of(const classified& c);
    pool& pool_of(const pending& p);
    // Starts the request, or has it wait in its line.
    void enter(pending& p, base::time_point now, effects& out);
    // Whether there is room for it to start.
    [[nodiscard]] bool has_room(const pending& p, const pool& at) const;
    void run(pending& p, base::time_point now, effects& out);
    void wait(pending& p, pool& at, base::time_point now, effects& out);
    // Starts those that wait, in each pool that an end gave room.
    void start_waiting(base::time_point now, effects& out);
    // Starts the first of the line; false when it has to wait on.
    bool start_first(pool& at, lane l, base::time_point now, effects& out);
    void arm_recheck(pending& p, base::time_point now);
    void leave_lane(const pending& p, base::time_point now);
    // Opens one attempt, or says why there is none.
    std::optional<refusal> start_attempt(pending& p, cause why,
                                         base::time_point now, effects& out);
    // Where it should go, among the targets of its lane.
    [[nodiscard]] std::vector<base::target_id> preferred(const pending& p,
                                                         const pool& at) const;
    void note_place(pending& p, const base::target_id& target);
    void arm_hedge(pending& p, base::time_point now);
    void hedge(base::request_id id, base::time_point now, effects& out);
    void after_step(base::attempt_id id, attempt::step s, base::time_point now,
                    effects& out);
    void forward(base::attempt_id id, base::time_point now, effects& out);
    void after_failure(base::attempt_id id, base::time_point now, effects& out);
    // Closes every open attempt of the request and answers it.
    void end(base::request_id id, reason why, base::time_point now,
             effects& out);
    void abandon(base::attempt_id id, reason why, base::time_point now,
                 effects& out);
    void refuse(base::request_id id, refusal r, base::time_point now,
                effects& out);
    void forget_attempt(base::attempt_id id, base::time_point now);
    void forget_request(base::request_id id, base::time_point now);

    options m_options;
    routing::snapshot_ptr m_snapshot;
    base::random m_random;
    base::attempt_id m_last_attempt;
    bool m_stopping = false;
    counters m_counters;
    boost::unordered_flat_map<base::request_id, pending> m_pending;
    boost::unordered_flat_map<base::attempt_id, open> m_open;
    std::set<std::tuple<base::time_point, base::request_id, timer>> m_timers;
    target_book m_book;
    shift::admission_controller m_spender;
    std::map<kind_key, kind_state> m_kinds;
    std::map<pool_key, pool> m_pools;
    std::set<pool*> m_with_new_room;
};

} // namespace pollenreel::request
