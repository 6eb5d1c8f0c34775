#include "pollenreel/dispatch/target_state.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::dispatch {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Weight of a new sample of the load of other instances. Samples are noisy
// because they are taken whenever a request ends.
constexpr double load_report_weight = 0.4;
// Time constant with which earlier reports lose weight against one of another
// instance: in 500 ms a target finishes most of the work that it has.
constexpr seconds shared_report_time{0.5};
// Time constant with which the load of a target that refused a request decays:
// an instance hears of a target's load every two to four seconds, and by then
// the queue may be gone.
constexpr seconds full_decay{2.0};
// Occupancy, in slots, of a target that refused a request and reported no load.
constexpr double full_occupancy = 2;
// Time constant with which a reported slowdown decays: the targets' machines
// change speed every 600 ms.
constexpr seconds slowdown_decay{0.6};
// Weight of a new attempt in the failure rate.
constexpr double attempt_weight = 0.25;
// Time constant with which the failure rate decays.
constexpr seconds failure_decay{3.0};
// Consecutive failures after which a target is ejected. The ejection time
// doubles with each further failure.
constexpr std::uint32_t ejection_threshold = 2;
constexpr base::duration first_ejection = 500ms;
constexpr base::duration max_ejection = 4s;
// Time for which a failure counts as recent. Within it an instance hears of the
// target's load again (medians are two to four seconds).
constexpr base::duration failure_memory = 3s;
// Time for which a target that has recovered is treated as cold: by then its
// own report has arrived.
constexpr base::duration recovery_time = 3s;
// Sliding window for the cold rate: a second, plus a margin for clock
// differences and network delay.
constexpr base::duration cold_window = 1100ms;

// How long a limit is remembered of a target that is missing from the view.
constexpr base::duration limit_lifetime = 10min;

} // namespace

void target_state::on_attempt_started(base::time_point now) {
    if (m_limit) {
        m_limiter.on_sent(now);
    }
    ++m_in_flight;
    m_open_since.push_back(now);
    m_sent_at.push_back(now);
    while (!m_sent_at.empty() && now - m_sent_at.front() >= cold_window) {
        m_sent_at.pop_front();
    }
}

void target_state::on_sent(base::time_point started_at, base::time_point now) {
    on_not_sent(started_at);
    m_sent_at.push_back(now);
}

void target_state::on_not_sent(base::time_point started_at) {
    const auto reserved =
        std::find(m_sent_at.begin(), m_sent_at.end(), started_at);
    if (reserved != m_sent_at.end()) {
        m_sent_at.erase(reserved);
    }
}

void target_state::forget_former_process() {
    m_load_of_others = 0;
    m_load_reported_at.reset();
    m_load_when_full.reset();
    m_slowdown = 1;
    m_failure_rate = 0;
    m_consecutive_failures = 0;
    m_failed_at.reset();
    m_ejected_until = {};
    m_recovered_at = {};
    m_objects.clear();
}

base::time_point
target_state::cold_until(base::time_point reported,
                         std::chrono::milliseconds max_report_age) const {
    // Otherwise the target became cold after the check.
    const bool agrees = m_checked_cold_until &&
                        *m_checked_cold_until >= reported - max_report_age;
    return agrees ? *m_checked_cold_until : reported;
}

void target_state::on_attempt_ended(attempt_result result,
                                    base::time_point started_at,
                                    base::time_point now) {
    m_in_flight -= m_in_flight > 0 ? 1 : 0;
    const auto open =
        std::find(m_open_since.begin(), m_open_since.end(), started_at);
    if (open != m_open_since.end()) {
        m_open_since.erase(open);
    }
    if (result == attempt_result::cancelled) {
        return;
    }
    const bool failed = result != attempt_result::answered;
    const double before = failure_rate(now);
    m_failure_rate = before + ((failed ? 1.0 : 0.0) - before) * attempt_weight;
    m_failure_rate_at = now;
    if (result == attempt_result::connect_failed ||
        result == attempt_result::lost) {
        return record_failure(now);
    }
    if (m_consecutive_failures >= ejection_threshold) {
        m_recovered_at = now;
    }
    m_consecutive_failures = 0;
    m_ejected_until = {};
    m_last_answer_at = now;
}

void target_state::record_failure(base::time_point now) {
    m_failed_at = now;
    ++m_consecutive_failures;
    if (m_consecutive_failures < ejection_threshold) {
        return;
    }
    const auto doublings =
        std::min(m_consecutive_failures - ejection_threshold, 4U);
    m_ejected_until =
        now + std::min(max_ejection, first_ejection * (1 << doublings));
}

void target_state::on_load_report(const request::target_load& load,
                                  base::time_point now) {
    const double others = std::max(0.0, static_cast<double>(load.running) +
                                            load.waiting - m_in_flight);
    m_load_of_others = m_load_reported_at
                           ? m_load_of_others + (others - m_load_of_others) *
                                                    load_report_weight
                           : others;
    m_slowdown = std::max(1U, load.slowdown_percent) / 100.0;
    m_load_reported_at = now;
    if (now > m_full_at) {
        m_load_when_full.reset();
    }
}

void target_state::on_shared_report(const request::target_load& load,
                                    base::time_point reported_at) {
    if (m_load_reported_at && reported_at <= *m_load_reported_at) {
        return;
    }
    // The report includes the attempts of this instance that were open then.
    // Those since then are added by `occupancy`.
    const auto included = std::upper_bound(m_open_since.begin(),
                                           m_open_since.end(), reported_at) -
                          m_open_since.begin();
    const double others =
        std::max(0.0, static_cast<double>(load.running) + load.waiting -
                          static_cast<double>(included));
    const double kept =
        m_load_reported_at
            ? std::exp(-seconds(reported_at - *m_load_reported_at) /
                       shared_report_time)
            : 0;
    m_load_of_others = others + (m_load_of_others - others) *
                                    std::min(kept, 1 - load_report_weight);
    m_slowdown = std::max(1U, load.slowdown_percent) / 100.0;
    m_load_reported_at = reported_at;
    if (reported_at > m_full_at) {
        m_load_when_full.reset();
    }
}

void target_state::on_refused_as_full(
    const std::optional<request::target_load>& load, std::uint32_t slots,
    base::time_point now) {
    const double occupancy =
        load ? static_cast<double>(load->running) + load->waiting
             : full_occupancy * slots;
    // The refused attempt is in flight, but not at the target.
    const double own = m_in_flight > 0 ? m_in_flight - 1.0 : 0.0;
    m_load_when_full = std::max(0.0, occupancy - own);
    m_full_at = now;
}

double target_state::occupancy(base::time_point now) const {
    double others = m_load_of_others;
    if (m_load_when_full) {
        others = std::max(others,
                          *m_load_when_full *
                              std::exp(-seconds(now - m_full_at) / full_decay));
    }
    return m_in_flight + others;
}

double target_state::slowdown(base::time_point now) const {
    if (!m_load_reported_at) {
        return 1;
    }
    const double remaining =
        std::exp(-seconds(now - *m_load_reported_at) / slowdown_decay);
    return std::max(0.5, 1 + (m_slowdown - 1) * remaining);
}

double target_state::failure_rate(base::time_point now) const {
    if (m_failure_rate == 0) {
        return 0;
    }
    return m_failure_rate *
           std::exp(-seconds(now - m_failure_rate_at) / failure_decay);
}

bool target_state::ejected(base::time_point now) const {
    return now < m_ejected_until ||
           // At most one probe is in flight.
           (m_consecutive_failures >= ejection_threshold && m_in_flight > 0);
}

bool target_state::full_within(base::duration period,
                               base::time_point now) const {
    return m_load_when_full && now - m_full_at < period;
}

bool target_state::failed_lately(base::time_point now) const {
    return m_failed_at && now - *m_failed_at < failure_memory;
}

void target_state::back_off(std::int64_t incarnation, base::time_point until) {
    m_back_off_until = incarnation == m_back_off_incarnation
                           ? std::max(m_back_off_until, until)
                           : until;
    m_back_off_incarnation = incarnation;
}

std::optional<base::time_point>
target_state::backs_off_until(std::int64_t incarnation,
                              base::time_point now) const {
    if (now >= m_back_off_until || m_back_off_incarnation != incarnation) {
        return std::nullopt;
    }
    return m_back_off_until;
}

bool target_state::on_limit(std::int64_t incarnation, double per_second,
                            base::time_point now) {
    const bool is_new = !m_limit || m_limit->incarnation != incarnation;
    if (is_new) {
        m_limit = {incarnation, per_second, now, now};
    }
    m_limit->per_second = per_second;
    m_limit->told_at = now;
    m_share_view = 0;
    return is_new;
}

bool target_state::on_no_limit(std::int64_t incarnation,
                               base::time_point sent_at) {
    // A response may be older than the one that named the limit.
    if (!limit(incarnation) || sent_at <= m_limit->first_told_at) {
        return false;
    }
    m_limit.reset();
    return true;
}

std::optional<double> target_state::limit(std::int64_t incarnation) const {
    return m_limit && m_limit->incarnation == incarnation
               ? std::optional(m_limit->per_second)
               : std::nullopt;
}

void target_state::set_share(const limit_share& share, double phase,
                             std::uint64_t view_number, base::time_point now) {
    m_limiter.set(share, phase, now);
    m_share_view = view_number;
}

std::optional<base::time_point>
target_state::withheld_until(std::int64_t incarnation,
                             base::time_point now) const {
    auto until = backs_off_until(incarnation, now);
    if (limit(incarnation) && !m_limiter.allows(now)) {
        until = std::max(until.value_or(now), m_limiter.next_at(now));
    }
    return until;
}

bool target_state::must_be_kept(base::time_point now) const {
    return now < m_back_off_until || now < m_checked_cold_until ||
           (m_limit && now - m_limit->told_at < limit_lifetime);
}

bool target_state::unresponsive(base::duration limit,
                                base::time_point now) const {
    return !m_open_since.empty() && now - m_open_since.front() > limit &&
           m_last_answer_at < m_open_since.front();
}

bool target_state::recently_recovered(base::time_point now) const {
    return m_consecutive_failures >= ejection_threshold ||
           (m_recovered_at != base::time_point{} &&
            now - m_recovered_at < recovery_time);
}

std::size_t target_state::sent_last_second(base::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_sent_at.begin(), m_sent_at.end(),
                      [&](const auto& at) { return now - at < cold_window; }));
}

std::optional<base::duration>
target_state::load_age(base::time_point now) const {
    if (!m_load_reported_at) {
        return std::nullopt;
    }
    return now - *m_load_reported_at;
}

} // namespace pollenreel::dispatch
