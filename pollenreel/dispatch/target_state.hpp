// What this instance knows of one target from its own requests: how busy it
// is, how slow, whether it fails, and what may be sent to it while it is cold.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/recent_objects.hpp"
#include "pollenreel/request/attempt.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace pollenreel::dispatch {

// How an attempt at a target ended.
enum class attempt_result {
    answered,       // by the target, without a server error
    server_error,   // answered with a server error
    shed,           // refused as not run
    connect_failed, // nothing was sent
    lost,           // sent, and no whole answer came
    cancelled,      // given up by us; says nothing, or that it is slow
};

// Pure; one thread only.
class target_state {
public:
    void on_attempt_started(base::time_point now);
    void on_attempt_ended(attempt_result r, base::time_point began,
                          base::time_point now);
    // Load told in an answer; call it after `ended`.
    void on_load_report(const request::target_load& load, base::time_point now);

    // Requests running and waiting there, our own and those of others.
    [[nodiscard]] double occupancy() const;
    // Of its machine, told lately; 1 is usual.
    [[nodiscard]] double slowdown(base::time_point now) const;
    // Share of recent attempts that failed or were shed, 0 to 1.
    [[nodiscard]] double failure_rate(base::time_point now) const;
    // Not to be used, after failures in a row, but for a probe now and then.
    [[nodiscard]] bool ejected(base::time_point now) const;
    // Attempts open for longer than `limit` with nothing answered since.
    [[nodiscard]] bool unresponsive(base::duration limit,
                                    base::time_point now) const;
    // Came back after it was ejected: it may be cold although its last report
    // says otherwise.
    [[nodiscard]] bool recently_recovered(base::time_point now) const;

    [[nodiscard]] recent_objects& objects() { return m_objects; }
    [[nodiscard]] const recent_objects& objects() const { return m_objects; }

    // Requests sent within the last second, for the cold rate.
    [[nodiscard]] std::size_t sent_last_second(base::time_point now) const;
    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }
    [[nodiscard]] std::optional<base::duration>
    load_age(base::time_point now) const;

private:
    void record_failure(base::time_point now);

    std::uint32_t m_in_flight = 0;
    double m_load_of_others = 0; // requests of other instances, smoothed
    std::optional<base::time_point> m_load_reported_at;
    double m_slowdown = 1;
    double m_failure_rate = 0; // share, as of m_failures_at
    base::time_point m_failure_rate_at{};
    std::uint32_t m_consecutive_failures = 0;
    base::time_point m_ejected_until{};
    base::time_point m_recovered_at{};
    base::time_point m_last_answer_at{};
    recent_objects m_objects;
    std::deque<base::time_point> m_open_since; // open attempts, oldest first
    std::deque<base::time_point> m_sent_at;    // within about a second
};

} // namespace pollenreel::dispatch
