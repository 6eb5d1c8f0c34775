// Makes all decisions about requests that are routed by host and path: route,
// service, target, and whether to refuse, repeat or hedge. Takes events with
// the time at which they happened and returns effects. Does no I/O. A driver
// follows the same rules as for request::core (docs/ARCHITECTURE.md).
//
//   dispatch::core c(options);
//   for (auto& e : c.handle(dispatch::view_changed{view}, now)) run(e);
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/dispatch/check_peers.hpp"
#include "pollenreel/dispatch/departing_targets.hpp"
#include "pollenreel/dispatch/latency_profile.hpp"
#include "pollenreel/dispatch/placement.hpp"
#include "pollenreel/dispatch/queueing_ranks.hpp"
#include "pollenreel/dispatch/region_share.hpp"
#include "pollenreel/dispatch/region_wait.hpp"
#include "pollenreel/dispatch/retry_budget.hpp"
#include "pollenreel/dispatch/shared_loads.hpp"
#include "pollenreel/dispatch/target_state.hpp"
#include "pollenreel/dispatch/unchecked_openings.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/quota/gate.hpp"
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

// Limits that apply to all instances together, from the settings.
struct fleet_limits {
    retry_budget_limits repeats;
    // Within a second, a cold target gets at most `cold_factor` times its
    // service's rate plus `cold_slack` requests.
    double cold_factor = 1;
    double cold_slack = 0;
    // Fraction of a region's requests that may change the region in which they
    // run from one window of two seconds to the next.
    double most_shifted = 1;
    // A request sent this long after its key was withdrawn does not run, even
    // if the instance is out of contact with the store; 0 for no such limit.
    std::chrono::milliseconds revocation_bound{0};
    // Quotas of tenants: in any such window no more than (rate x window +
    // burst) x (1 + over) + slack requests of one run; 0 for no quotas.
    std::chrono::milliseconds quota_window{0};
    double quota_over = 0;
    double quota_slack = 0;
    // Instances share the loads that targets report.
    bool share_loads = false;
    // An instance has no more attempts at a target than its part of the
    // target's connection limit, and closes idle connections beyond it.
    bool hold_connections = false;
    // After a target refused a request because it is full, others avoid it at
    // once.
    bool avoid_full = false;
    // After such a refusal the request is repeated only at a target that is
    // expected to have a free slot.
    bool repeat_to_room = false;
    // A request that has to queue is refused if its answer is expected after
    // this many target latencies, sooner the less urgent it is; 0 for the usual
    // limits of admission.
    double shed_late = 0;
    // A request does not queue within its target latency of more urgent ones
    // that had to.
    bool queue_by_rank = false;
    // The time after which a refused caller is told to return is when the first
    // slot is expected to be free, and a random part of this many target
    // latencies; 0 for the wait at the chosen target.
    double retry_after_spread = 0;
    // Requests change the region in which they run by the answer times measured
    // in each, as far as known, instead of the costs estimated for each.
    bool spill_by_wait = false;
};

struct options {
    std::uint64_t seed = 0;
    base::instance_id self;
    base::region_id region;
    std::size_t regions = 1; // number of regions in the fleet
    fleet_limits limits;
    // A configuration is in use everywhere after this, so that an older view
    // does not tell which keys are unknown.
    std::chrono::milliseconds configuration_bound{2500};
    // Age that a target's report in the view may have when it arrives.
    std::chrono::milliseconds max_report_age{2500};
};

// Events.
struct view_changed {
    fleet::view_ptr view;
};
struct arrival {
    base::request_id id;
    std::string host;
    std::string path;
    std::string object; // key of what targets may have cached; may be empty
    std::optional<std::chrono::milliseconds> time_left; // if the caller sent it
    // The key that the caller presents; nullopt if none can be read. Secret.
    std::optional<std::string> key{};
    // When the request had been read; needed with a revocation bound.
    base::boot_time read_at{};
};
struct caller_gone {
    base::request_id request;
};
struct tick {};
// The hub of the region answered a report of usage.
struct usage_news_received {
    quota::usage_news news;
};
// Loads that targets reported to other instances.
struct loads_shared {
    std::vector<fleet::shared_load> loads;
};
struct limits_changed {
    fleet_limits limits;
};
// The instance leaves the fleet. Requests in flight end by `until`.
struct stop_requested {
    base::time_point until;
};
using event =
    std::variant<view_changed, limits_changed, arrival,
                 request::attempt_connected, request::attempt_connect_failed,
                 request::attempt_answered, request::attempt_lost, caller_gone,
                 tick, usage_news_received, loads_shared, stop_requested>;

// What a target learns about the caller.
struct caller_identity {
    // The configuration has tenants, so that keys are not for targets.
    bool keys_in_use = false;
    std::string tenant; // empty on public routes
};

enum class attempt_cause { first, repeat, hedge };
[[nodiscard]] std::string_view to_string(attempt_cause c);

// The inputs of a choice of target, for the log.
struct choice_record {
    std::string route;
    base::service_id service;
    base::target_id target;
    attempt_cause cause = attempt_cause::first;
    placement chosen;
    std::size_t candidates = 0; // number compared
    double share_abroad = 0;    // fraction of the service's requests
    std::optional<base::duration> load_age;
    std::uint32_t in_flight = 0; // attempts of this instance at the target
    double repeats_left = 0;     // in the service's retry budget
    base::duration time_left{};
    std::string tenant{};                     // empty on public routes
    base::failure_domain_id failure_domain{}; // of the target
};

// Effects.
struct open_attempt {
    request::open_attempt open;
    choice_record record;
    caller_identity caller;
};
struct refuse {
    base::request_id request;
    request::refusal refusal;
    std::optional<std::chrono::milliseconds> retry_after;
    std::string route; // empty if no route was found
    base::duration waited{};
    std::uint32_t attempts = 0;
    // The best placement, if admission control rejected the request.
    std::optional<placement> best;
    std::string tenant{}; // empty if none was found
};
// An attempt failed. Another attempt may follow.
struct attempt_failed {
    base::request_id request;
    base::attempt_id attempt;
    base::target_id target;
    request::refusal failure;
    base::duration took{};
};
// A target announced its departure for the first time.
struct target_departing {
    base::request_id request; // whose response said so
    base::target_id target;
};
// A target wants no requests from this instance for a while.
struct target_backed_off {
    base::request_id request; // whose response said so
    base::target_id target;
    std::chrono::milliseconds lasts{};
};
// A target named a limit for the first time, or no longer names one.
struct target_limit_changed {
    base::request_id request; // whose response said so
    base::target_id target;
    std::optional<double> per_second;
};
// The store tells that a target's process was replaced. Until now this instance
// sent to the new process what it would have sent to the former one.
struct target_restarted {
    base::target_id target;
    base::duration cold_left{};
    std::size_t sent_last_second = 0;
    std::size_t cold_quota = 0;
};
// The check of a new connection found a target cold that the store does not
// call cold, or not yet.
struct target_found_cold {
    base::request_id request;
    base::target_id target;
    base::duration cold_left{};
    std::size_t sent_last_second = 0; // attempts under way included
    std::size_t cold_quota = 0;
};
// A request is sent to a target that is known to be cold.
struct cold_target_used {
    base::request_id request;
    base::attempt_id attempt;
    base::target_id target;
    base::duration cold_left{};
    std::size_t sent_last_second = 0; // this one included
    std::size_t cold_quota = 0;
    base::duration since_chosen{}; // connecting included
};
using effect =
    std::variant<open_attempt, request::send_attempt, request::abandon_attempt,
                 request::forward_response, refuse, attempt_failed,
                 target_departing, target_backed_off, target_limit_changed,
                 target_restarted, target_found_cold, cold_target_used>;
using effects = std::vector<effect>;

// Counts since the start of the process.
struct counters {
    std::uint64_t requests = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t late = 0; // forwarded after the target latency
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t repeats = 0; // attempts after a failed one
    std::uint64_t hedges = 0;  // attempts in parallel to a slow one
    std::uint64_t callers_gone = 0;
    std::uint64_t checks = 0;            // of new connections, answered
    std::uint64_t checks_found_cold = 0; // before the store said so
    std::uint64_t unchecked = 0;         // new connections to distant targets
};

// Not thread-safe.
class core {
public:
    explicit core(options o);

    [[nodiscard]] effects handle(const event& e, base::time_point now);
    // The refusal of a request whose body has not been read yet, and which must
    // not arrive then; nullopt if it may arrive.
    [[nodiscard]] std::optional<refuse>
    refuse_before_body(const arrival& a, base::time_point now);
    // Time at which the core next needs a `tick`; nullopt if no timer is set.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    [[nodiscard]] std::size_t requests_in_flight() const {
        return m_pending.size();
    }
    [[nodiscard]] const counters& counts() const { return m_counters; }
    [[nodiscard]] bool ready() const {
        return m_view && m_view->routes && !m_stop_at;
    }
    // Loads reported to this instance since the last call, for the others;
    // none unless `share_loads` is set.
    [[nodiscard]] std::vector<fleet::shared_load>
    take_load_news(base::time_point now);
    // Whether requests with a key are served as far as their age allows.
    [[nodiscard]] bool are_keys_fresh(base::boot_time now) const;
    // What to report to the hub of the region every `quota::report_interval`;
    // nullopt without quotas, or if no tenant has a limit. `whole`: in the
    // first report to a hub.
    [[nodiscard]] std::optional<quota::usage_report>
    report_usage(bool whole, base::time_point now);
    // What the target is checked by for another instance; nullopt if this one
    // does not know it at that address.
    [[nodiscard]] std::optional<std::string>
    check_path_for(const request::chosen_target& target) const;
    // All instances that are asked to check targets.
    [[nodiscard]] std::vector<base::endpoint> check_peers() const;
    // Whether the last forwarded answer exceeded its target latency.
    [[nodiscard]] bool last_answer_late() const { return m_last_answer_late; }

private:
    enum class timer { expiry, hedge };
    // Requests with equal keys are expected to take similar times: service,
    // idempotence and target latency.
    using profile_key =
        std::tuple<base::service_id, bool, std::chrono::milliseconds>;
    struct pending_request {
        base::request_id id;
        routes::route_table_ptr table; // keeps `route` alive
        const routes::route* route = nullptr;
        const routes::tenant* tenant = nullptr; // null on public routes
        base::service_id service;
        std::string object;
        std::uint64_t object_hash = 0;
        base::time_point arrived_at;
        // Earliest deadline of the caller and the route.
        base::time_point expires_at;
        std::vector<base::attempt_id> open_attempts;
        std::vector<base::target_id> tried;
        std::uint32_t sent_attempts = 0; // attempts written to a target
        // Attempts that failed before anything was written.
        std::uint32_t failed_connects = 0;
        bool may_have_run = false; // in an attempt that has ended
        // Only a target with a free slot is chosen: a full one refused it, or
        // more urgent work queues.
        bool needs_room = false;
        std::optional<base::time_point> hedge_at;
        // Until a target has a free slot, if none had one for a repeat.
        std::optional<base::duration> room_after;
    };
    // An attempt that has been started and has not ended.
    struct ongoing_attempt {
        request::attempt machine;
        base::request_id request;
        base::target_id target;
        std::int64_t incarnation = 0; // of the target
        base::time_point started_at;
        placement_class kind;
        bool queued = false; // the target had no free slot when it was chosen
        double slowdown = 1;
        bool sent = false;
        bool unchecked = false; // if a connection is opened
        // The check was refused, so that the process may be cold.
        bool check_refused = false;
    };

    // Empty without a tenant.
    static std::string tenant_name(const pending_request& pending) {
        return pending.tenant == nullptr ? "" : pending.tenant->name;
    }

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
    void on(const usage_news_received& e, base::time_point now, effects& out);
    void on(const stop_requested& e, base::time_point now, effects& out);
    void on(const loads_shared& e, base::time_point now, effects& out);

    // What the configuration says about a request.
    struct identity {
        const routes::route* route = nullptr;
        const routes::tenant* tenant = nullptr; // null on public routes
    };
    // Counts and describes a request that ends before a service is chosen.
    refuse refuse_unidentified(const arrival& a, const identity& found,
                               request::reason why);
    // Sets `found` as far as the configuration knows the request, or returns
    // the reason to refuse it.
    [[nodiscard]] std::optional<request::reason>
    identify(const arrival& a, base::time_point now, identity& found) const;
    [[nodiscard]] std::optional<request::reason>
    find_route(const arrival& a, base::time_point now,
               const routes::route*& found) const;
    [[nodiscard]] std::optional<request::reason>
    find_tenant(const arrival& a, base::time_point now,
                const routes::tenant*& found) const;
    // The refusal of a request that its tenant's quota does not allow.
    [[nodiscard]] std::optional<refuse> refuse_over_quota(const arrival& a,
                                                          const identity& found,
                                                          base::time_point now);
    // Gives the credit of a request back that has not run.
    void refund(const pending_request& pending, base::time_point now);
    // Steps of rank by which its tenant asks for more than its share.
    [[nodiscard]] double excess_for(const pending_request& pending,
                                    base::time_point now) const;
    // Importance, lower by the excess of the tenant; 0 is the highest.
    [[nodiscard]] double rank_for(const pending_request& pending,
                                  base::time_point now) const;
    void start_gate();
    // Passes the tenants of the configuration to the gate.
    void update_quotas(base::time_point now);
    latency_profile& profile_for(const pending_request& pending);
    retry_budget& budget_for(const base::service_id& service);
    // How many share what all instances may use together; 0 if unknown.
    [[nodiscard]] std::size_t sharing_instances() const {
        return m_view->instances_known ? m_view->instances.size() : 0;
    }
    // Among how many instances quotas are divided without news.
    [[nodiscard]] std::size_t quota_instances() const;
    [[nodiscard]] std::vector<candidate>
    candidates_for(const pending_request& pending, attempt_cause cause,
                   base::time_point now);
    // This instance's part of the target's connection limit.
    [[nodiscard]] std::uint32_t connections_at(const fleet::target& t,
                                               const target_state& s,
                                               base::time_point now) const;
    // Requests per second that this instance may send to the target while it is
    // cold.
    [[nodiscard]] std::size_t cold_quota_at(const fleet::target& t,
                                            base::time_point now) const;
    // Requests per second that all instances may send to it then.
    [[nodiscard]] double cold_bound_of(const fleet::target& t) const;
    // Takes in which instances `next` lists and the last view did not, and vice
    // versa.
    void note_instances(const fleet::view& next, base::time_point now);
    // Reports targets whose process differs from the one known before.
    void note_restarts(base::time_point now, effects& out);
    // Whether the target is cold and `sent` requests of the last second use up
    // this instance's quota.
    [[nodiscard]] bool is_cold_quota_exhausted(const fleet::target& t,
                                               const target_state& s,
                                               std::size_t sent,
                                               base::time_point now) const;
    // Decides how a connection is checked that is opened for the attempt.
    void choose_check(request::open_attempt& opening, const fleet::target& t,
                      const target_state& s, base::time_point now);
    [[nodiscard]] unchecked_query
    unchecked_query_for(const fleet::target& t) const;
    // Whether the target may have restarted without this instance hearing of
    // it, as far as that is known.
    [[nodiscard]] bool is_doubtful(const fleet::target& t,
                                   const target_state& s,
                                   base::time_point now) const;
    void note_opened(const ongoing_attempt& a, base::time_point now);
    // Those that are asked to check the target, the first one first; none in
    // the own region.
    [[nodiscard]] std::vector<base::endpoint>
    check_peers_for(const fleet::target& t) const;
    // Takes in what a target said when a connection to it was opened.
    void note_check(ongoing_attempt& a, const request::target_check& c,
                    base::time_point now, effects& out);
    // Another target owns the address of this one.
    void note_misaddressed(const base::target_id& target,
                           const base::service_id& service);
    // What a new connection to a target of the service is checked by.
    [[nodiscard]] std::string check_path_of(const base::service_id& id) const;
    // The target of an attempt; null if it gets no requests any more.
    [[nodiscard]] const fleet::target*
    find_target(const ongoing_attempt& a) const;
    // Computes this instance's part of the target's limit if that is due.
    void update_limit_share(const fleet::target& t, target_state& s,
                            base::time_point now);
    // Takes in a load that the target reported to this instance.
    // Other instances hear of it if `may_share`.
    void note_load(const base::target_id& target, std::int64_t incarnation,
                   const request::target_load& load, bool may_share,
                   base::time_point now);
    // When a request for which no target is usable may be sent again.
    [[nodiscard]] std::chrono::milliseconds
    retry_delay(const base::service_id& service, base::time_point now) const;
    region_share& share_for(const base::service_id& service);
    // Whether a request may still be sent to the target of a new attempt.
    [[nodiscard]] bool is_usable(const ongoing_attempt& a,
                                 base::time_point now) const;
    void report_cold_use(const ongoing_attempt& a, base::attempt_id id,
                         base::time_point now, effects& out) const;
    // Takes in what a response says about its target.
    void note_target(const ongoing_attempt& a, const request::response_info& r,
                     base::time_point now, effects& out);
    struct placement_choice {
        std::optional<placement> best; // nullopt if no target is usable
        std::size_t candidates = 0;
        // A target has no connection left for this instance.
        bool lacks_connections = false;
        // Until a target that was compared has a free slot.
        std::optional<base::duration> shortest_wait;
    };
    // Chooses between the best target in the own region and the best abroad,
    // as the region's share allows.
    [[nodiscard]] placement_choice choose_placement(pending_request& pending,
                                                    attempt_cause cause,
                                                    base::time_point now);
    // Whether the request has to leave the queues to more urgent ones.
    [[nodiscard]] bool yields_to_urgent(const pending_request& pending,
                                        base::time_point now);
    void start_first_attempt(pending_request& pending, base::time_point now,
                             effects& out);
    // Attempts of the request that have not been sent and may still be.
    [[nodiscard]] std::uint32_t
    connecting_attempts(const pending_request& pending) const;
    // Starts another attempt if that is safe and within the route's limits and
    // the retry budget. Returns whether it did.
    bool try_another_attempt(pending_request& pending, attempt_cause cause,
                             base::time_point now, effects& out);
    void note_full_target(const base::target_id& target,
                          const std::optional<request::target_load>& load,
                          base::time_point now);
    // When a request whose attempts all failed may be sent again.
    [[nodiscard]] static std::chrono::milliseconds
    retry_delay_after_failure(const pending_request& pending);
    void forward(base::attempt_id id, pending_request& pending,
                 base::time_point now, effects& out);
    void start_attempt(pending_request& pending, const placement_choice& choice,
                       attempt_cause cause, base::time_point now, effects& out);
    void schedule_hedge(pending_request& pending, base::time_point now);
    void handle_failed_attempt(base::attempt_id id, attempt_result result,
                               base::time_point now, effects& out);
    void measure_wait(const ongoing_attempt& a, attempt_result result,
                      base::time_point now);
    // Removes the attempt from its target's state and from its request.
    void close_attempt(base::attempt_id id, attempt_result result,
                       base::time_point now);
    void abandon_open_attempts(pending_request& pending, base::time_point now,
                               effects& out);
    void refuse_request(base::request_id id, request::refusal r,
                        std::optional<placement> best,
                        std::optional<std::chrono::milliseconds> retry_after,
                        base::time_point now, effects& out);
    void expire(base::request_id id, base::time_point now, effects& out);
    void remove_request(base::request_id id);

    options m_options;
    base::random m_random;
    fleet::view_ptr m_view;
    // Instances that are missing from the list, with when that was noticed.
    std::map<base::instance_id, std::pair<fleet::instance, base::time_point>>
        m_unlisted_instances;
    // Those that may send to targets: the listed ones and those above.
    std::vector<fleet::instance> m_sending_instances;
    check_peers_by_region m_check_peers;
    std::uint64_t m_view_number = 0;
    std::optional<base::time_point> m_stop_at;
    bool m_last_answer_late = false;
    counters m_counters;
    base::attempt_id m_last_attempt;
    boost::unordered_flat_map<base::request_id, pending_request> m_pending;
    boost::unordered_flat_map<base::attempt_id, ongoing_attempt>
        m_open_attempts;
    std::set<std::tuple<base::time_point, base::request_id, timer>> m_timers;
    // Targets of the view by service.
    std::map<base::service_id, std::vector<const fleet::target*>>
        m_targets_by_service;
    std::map<base::target_id, target_state> m_target_states;
    shared_loads m_shared_loads;
    // Targets whose address was answered by another target, with their
    // incarnation and address at that time. Not used until either changes.
    std::map<base::target_id, std::pair<std::int64_t, base::endpoint>>
        m_misaddressed;
    departing_targets m_departing;
    std::map<profile_key, latency_profile> m_profiles;
    std::map<base::service_id, retry_budget> m_budgets;
    std::map<base::service_id, region_share> m_shares;
    std::optional<quota::gate> m_gate; // if there are quotas
    std::uint64_t m_gate_starts = 0;
    std::map<base::service_id, queueing_ranks> m_queueing_ranks;
    std::map<base::service_id, region_wait> m_region_waits;
    std::map<base::service_id, unchecked_openings> m_openings_abroad;
};

} // namespace pollenreel::dispatch
