// All decisions about requests that are routed by host and path: which route
// and service, which target, whether to refuse, repeat or hedge. Events go in
// with the time at which they happened, effects come out; the rules for a
// driver are those of request::core (docs/ARCHITECTURE.md).
//
//   dispatch::core c(options);
//   for (auto& e : c.handle(dispatch::view_changed{view}, now)) run(e);
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/dispatch/placement.hpp"
#include "pollenreel/dispatch/region_share.hpp"
#include "pollenreel/dispatch/repeat_budget.hpp"
#include "pollenreel/dispatch/target_state.hpp"
#include "pollenreel/dispatch/work_profile.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/request/attempt_messages.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pollenreel::dispatch {

// Limits that all instances keep together, as the settings give them.
struct joint_limits {
    repeat_terms repeats;
    // A cold target gets at most its service's rate times `cold_factor`, and
    // `cold_slack` more, within a second.
    double cold_factor = 1;
    double cold_slack = 0;
    // Part of a region's requests that may change the region in which they
    // run from one window of two seconds to the next.
    double most_shifted = 1;
};

struct options {
    std::uint64_t seed = 0;
    base::instance_id self;
    base::region_id region;
    std::size_t regions = 1; // of the fleet
    joint_limits limits;
};

// Events.
struct view_changed {
    fleet::view_ptr view;
};
struct arrival {
    base::request_id id;
    std::string host;
    std::string path;
    std::string object; // what targets may have cached; empty: none
    std::optional<std::chrono::milliseconds> time_left; // told by the caller
};
struct caller_gone {
    base::request_id request;
};
struct tick {};
struct limits_changed {
    joint_limits limits;
};
// The instance leaves: what is under way has to end by then.
struct stop_requested {
    base::time_point until;
};
using event =
    std::variant<view_changed, limits_changed, arrival,
                 request::attempt_connected, request::attempt_connect_failed,
                 request::attempt_answered, request::attempt_lost, caller_gone,
                 tick, stop_requested>;

enum class attempt_cause { first, repeat, hedge };
[[nodiscard]] std::string_view to_string(attempt_cause c);

// What an attempt's choice of target went by.
struct choice_record {
    std::string route;
    base::service_id service;
    base::target_id target;
    attempt_cause cause = attempt_cause::first;
    placement chosen;
    std::size_t candidates = 0; // that were compared
    double share_abroad = 0;    // of the service's requests
    std::optional<base::duration> load_age;
    std::uint32_t in_flight = 0; // of this instance, at the target
    double repeats_left = 0;     // in the service's budget
    base::duration time_left{};
};

// Effects.
struct open_attempt {
    request::open_attempt open;
    choice_record record;
};
struct refuse {
    base::request_id request;
    request::refusal refusal;
    std::optional<std::chrono::milliseconds> retry_after;
    std::string route; // empty: none was found
    base::duration waited{};
    std::uint32_t attempts = 0;
    // The best that there was when the request was rejected.
    std::optional<placement> best;
};
// An attempt failed and another one may follow.
struct attempt_failed {
    base::request_id request;
    base::attempt_id attempt;
    base::target_id target;
    request::refusal failure;
    base::duration took{};
};
using effect =
    std::variant<open_attempt, request::send_attempt, request::abandon_attempt,
                 request::forward_response, refuse, attempt_failed>;
using effects = std::vector<effect>;

// Counts since start.
struct counters {
    std::uint64_t requests = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t late = 0; // of those forwarded, after the target latency
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t repeats = 0; // of the attempts
    std::uint64_t hedges = 0;  // of the attempts
    std::uint64_t callers_gone = 0;
};

class core {
public:
    explicit core(options o);

    [[nodiscard]] effects handle(const event& e, base::time_point now);
    // When the core next needs a `tick`; empty: not before another event.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t requests_in_flight() const {
        return m_pending.size();
    }
    [[nodiscard]] const counters& counts() const { return m_counters; }
    [[nodiscard]] bool ready() const {
        return m_view && m_view->routes && !m_stop_at;
    }
    // Whether the answer forwarded last came after its target latency.
    [[nodiscard]] bool last_was_late() const { return m_last_was_late; }

private:
    enum class timer { expiry, hedge };
    // Requests alike in the time their work takes.
    using work_key =
        std::tuple<base::service_id, bool, std::chrono::milliseconds>;
    struct pending {
        base::request_id id;
        routes::route_table_ptr table; // keeps `route` alive
        const routes::route* route = nullptr;
        base::service_id service;
        std::string object;
        std::uint64_t object_hash = 0;
        base::time_point arrived;
        base::time_point expires; // the caller, or the route, waits no longer
        std::vector<base::attempt_id> open;
        std::vector<base::target_id> tried;
        std::uint32_t sent = 0;     // attempts that a target may have run
        std::uint32_t connects = 0; // attempts that failed before that
        bool may_have_run = false;  // by an attempt that is over
        std::optional<base::time_point> hedge_at;
    };
    struct open {
        request::attempt machine;
        base::request_id request;
        base::target_id target;
        base::time_point since;
        placement_class kind;
        bool queued = false; // its target had no free slot when it was chosen
        double slowdown = 1;
    };

    void on(const view_changed& e, base::time_point now, effects& out);
    void on(const limits_changed& e, base::time_point now, effects& out);
    void on(const arrival& e, base::time_point now, effects& out);
    void on(const request::attempt_connected& e, base::time_point now,
            effects& out);
    void on(const request::attempt_connect_failed& e, base::time_point now,
            effects& out);
    void on(const request::attempt_answered& e, base::time_point now,
            effects& out);
    void on(const request::attempt_lost& e, base::time_point now, effects& out);
    void on(const caller_gone& e, base::time_point now, effects& out);
    void on(const tick& e, base::time_point now, effects& out);
    void on(const stop_requested& e, base::time_point now, effects& out);

    // Why a request that names no usable route is refused.
    [[nodiscard]] std::optional<request::reason>
    unroutable(const arrival& a, base::time_point now,
               const routes::route*& found) const;
    [[nodiscard]] base::service_id pick_service(const routes::route& r);
    work_profile& profile_of(const pending& p);
    repeat_budget& budget_of(const base::service_id& service);
    [[nodiscard]] std::vector<candidate> candidates_of(const pending& p,
                                                       base::time_point now);
    [[nodiscard]] bool cold_rate_used(const fleet::target& t,
                                      const target_state& s,
                                      base::time_point now) const;
    region_share& share_of(const base::service_id& service);
    // The better of the two sides that the region's share allows.
    struct chosen_place {
        std::optional<placement> at; // empty: no target can be used now
        std::size_t candidates = 0;
    };
    [[nodiscard]] chosen_place find_place(pending& p, base::time_point now);
    void start_first(pending& p, base::time_point now, effects& out);
    // Starts another attempt if the rules and the budget allow it.
    bool try_again(pending& p, attempt_cause cause, base::time_point now,
                   effects& out);
    void forward(base::attempt_id id, pending& p, base::time_point now,
                 effects& out);
    void start_attempt(pending& p, const chosen_place& to, attempt_cause cause,
                       base::time_point now, effects& out);
    void arm_hedge(pending& p, base::time_point now);
    void after_failure(base::attempt_id id, attempt_result result,
                       base::time_point now, effects& out);
    // Takes the attempt off its target and its request.
    void close_attempt(base::attempt_id id, attempt_result result,
                       base::time_point now);
    void abandon_all(pending& p, base::time_point now, effects& out);
    void refuse_request(base::request_id id, request::refusal r,
                        std::optional<placement> best,
                        std::optional<std::chrono::milliseconds> retry_after,
                        base::time_point now, effects& out);
    void expire(base::request_id id, base::time_point now, effects& out);
    void forget(base::request_id id);

    options m_options;
    base::random m_random;
    fleet::view_ptr m_view;
    std::optional<base::time_point> m_stop_at;
    bool m_last_was_late = false;
    counters m_counters;
    base::attempt_id m_last_attempt;
    boost::unordered_flat_map<base::request_id, pending> m_pending;
    boost::unordered_flat_map<base::attempt_id, open> m_open;
    std::set<std::tuple<base::time_point, base::request_id, timer>> m_timers;
    // By service, targets of the view.
    std::map<base::service_id, std::vector<const fleet::target*>> m_by_service;
    std::map<base::target_id, target_state> m_states;
    // Targets whose address answered for another one, as they were then.
    std::map<base::target_id, std::pair<std::int64_t, base::endpoint>>
        m_misplaced;
    std::map<work_key, work_profile> m_profiles;
    std::map<base::service_id, repeat_budget> m_budgets;
    std::map<base::service_id, region_share> m_shares;
};

} // namespace pollenreel::dispatch
