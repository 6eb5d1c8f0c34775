// What this instance knows about a target from its own requests: its load,
// slowdown and failures, and the requests sent to it while it is cold.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/rate_limiter.hpp"
#include "pollenreel/dispatch/recent_objects.hpp"
#include "pollenreel/request/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace pollenreel::dispatch {

// How an attempt at a target ended.
enum class attempt_result {
    answered,       // without a server error
    server_error,   // answered with a status of 500 or above
    shed,           // refused by the target as not run
    connect_failed, // nothing was sent
    lost,           // sent, but no complete answer came
    cancelled,      // abandoned by this instance; not counted as a failure
};

// Does no I/O. Not thread-safe.
class target_state {
public:
    void on_attempt_started(base::time_point now);
    // Its request is written now, or never will be. `started_at` as below.
    void on_sent(base::time_point started_at, base::time_point now);
    void on_not_sent(base::time_point started_at);
    // `started_at` is the time that `on_attempt_started` was called with.
    void on_attempt_ended(attempt_result result, base::time_point started_at,
                          base::time_point now);
    // Takes the load reported in an answer. Call it after `on_attempt_ended`.
    void on_load_report(const request::target_load& load, base::time_point now);
    // Takes the load that the target reported to another instance at
    // `reported_at`, unless it is older than the last report.
    void on_shared_report(const request::target_load& load,
                          base::time_point reported_at);

    // The target refused a request because it is full. `load`: what it reported
    // with that, if anything. `slots`: of the target. Call it before
    // `on_attempt_ended`.
    void on_refused_as_full(const std::optional<request::target_load>& load,
                            std::uint32_t slots, base::time_point now);

    // Requests running and waiting at the target, from all instances.
    [[nodiscard]] double occupancy(base::time_point now) const;
    // Recently reported slowdown of the target's machine; 1 is normal speed.
    [[nodiscard]] double slowdown(base::time_point now) const;
    // Fraction of recent attempts that failed or were shed, 0 to 1.
    [[nodiscard]] double failure_rate(base::time_point now) const;
    // Whether the target is ejected after consecutive failures. False between
    // ejections while no probe is in flight, so that one attempt may test it.
    [[nodiscard]] bool ejected(base::time_point now) const;
    // Whether the target refused a request as full within `period`, and has
    // answered none since.
    [[nodiscard]] bool full_within(base::duration period,
                                   base::time_point now) const;
    // Whether a connection was lost or not accepted lately.
    [[nodiscard]] bool failed_lately(base::time_point now) const;
    // Whether an attempt has been open for longer than `limit` and nothing has
    // been answered since it started.
    [[nodiscard]] bool unresponsive(base::duration limit,
                                    base::time_point now) const;
    // Whether the target may be cold after an ejection although its last report
    // says otherwise. True for ejected targets as well.
    [[nodiscard]] bool recently_recovered(base::time_point now) const;

    // Returns whether another start of the target was known before.
    bool note_incarnation(std::int64_t incarnation) {
        const auto before = std::exchange(m_incarnation, incarnation);
        return before && *before != incarnation;
    }

    // Whether that start of the target is not the one known last.
    [[nodiscard]] bool is_former(std::int64_t incarnation) const {
        return m_incarnation && *m_incarnation != incarnation;
    }

    // Drops what was learned of the former process: its load, cached objects
    // and failures. Requests that were sent still count.
    void forget_former_process();

    // The process behind a new connection said that it stays cold for so long.
    // Its answer holds for all connections: those to an earlier process ended
    // with it.
    void on_checked(std::chrono::milliseconds cold_for, base::time_point now) {
        m_checked_cold_until = now + cold_for;
    }
    // When the target stops being cold. `reported`: the same by its report in
    // the store, which counts from its arrival and may have been up to
    // `max_report_age` old then.
    [[nodiscard]] base::time_point
    cold_until(base::time_point reported,
               std::chrono::milliseconds max_report_age) const;

    // A new connection was used without a check.
    void on_unchecked(base::time_point now) { m_unchecked_at = now; }
    [[nodiscard]] bool unchecked_within(base::duration period,
                                        base::time_point now) const {
        return m_unchecked_at && now - *m_unchecked_at < period;
    }

    // That start of the target wants no requests until `until`.
    void back_off(std::int64_t incarnation, base::time_point until);
    // End of a back-off of that start of the target; nullopt if there is none.
    [[nodiscard]] std::optional<base::time_point>
    backs_off_until(std::int64_t incarnation, base::time_point now) const;

    // That start of the target named a limit for all instances together.
    // Returns whether it had none before.
    bool on_limit(std::int64_t incarnation, double per_second,
                  base::time_point now);
    // A request that was sent at `sent_at` was answered without a limit.
    // Returns whether that ended one.
    bool on_no_limit(std::int64_t incarnation, base::time_point sent_at);
    // The limit of that start of the target; nullopt if it has none.
    [[nodiscard]] std::optional<double> limit(std::int64_t incarnation) const;
    // This instance's part of the limit; it stands until the limit or the view
    // changes.
    [[nodiscard]] bool needs_share(std::uint64_t view_number) const {
        return m_share_view != view_number;
    }
    void set_share(const limit_share& share, double phase,
                   std::uint64_t view_number, base::time_point now);
    // When that start of the target may be sent a request; nullopt if now.
    [[nodiscard]] std::optional<base::time_point>
    withheld_until(std::int64_t incarnation, base::time_point now) const;
    // Whether the state has to outlive the target's absence from the view.
    [[nodiscard]] bool must_be_kept(base::time_point now) const;

    [[nodiscard]] recent_objects& objects() { return m_objects; }
    [[nodiscard]] const recent_objects& objects() const { return m_objects; }

    // Requests sent within the last second and attempts started in it, for the
    // cold rate.
    [[nodiscard]] std::size_t sent_last_second(base::time_point now) const;
    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }
    // Time since the last load report; nullopt if there was none.
    [[nodiscard]] std::optional<base::duration>
    load_age(base::time_point now) const;

private:
    void record_failure(base::time_point now);

    std::optional<std::int64_t> m_incarnation; // that the store named last
    std::uint32_t m_in_flight = 0;
    // By the last check of a new connection; nullopt if there was none.
    std::optional<base::time_point> m_checked_cold_until;
    std::optional<base::time_point> m_unchecked_at;
    double m_load_of_others = 0; // requests of other instances, smoothed
    std::optional<base::time_point> m_load_reported_at;
    // Requests of other instances when the target last refused one as full;
    // unset by a later report.
    std::optional<double> m_load_when_full;
    base::time_point m_full_at{};
    double m_slowdown = 1;
    double m_failure_rate = 0; // share, as of m_failures_at
    base::time_point m_failure_rate_at{};
    std::uint32_t m_consecutive_failures = 0;
    std::optional<base::time_point> m_failed_at;
    base::time_point m_ejected_until{};
    base::time_point m_recovered_at{};
    base::time_point m_last_answer_at{};
    base::time_point m_back_off_until{};
    std::int64_t m_back_off_incarnation = 0;
    struct told_limit {
        std::int64_t incarnation = 0;
        double per_second = 0;
        base::time_point first_told_at{};
        base::time_point told_at{};
    };
    std::optional<told_limit> m_limit;
    rate_limiter m_limiter;
    std::uint64_t m_share_view = 0; // number of the view it is computed from
    recent_objects m_objects;
    // Starts of the open attempts, oldest first.
    std::deque<base::time_point> m_open_since;
    // When requests were sent, or their attempts started, within about the last
    // second; in order.
    std::deque<base::time_point> m_sent_at;
};

} // namespace pollenreel::dispatch
