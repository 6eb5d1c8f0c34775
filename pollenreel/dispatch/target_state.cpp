#include "pollenreel/dispatch/target_state.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::dispatch {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Weight of a new report of the load of others: reports are noisy, being
// taken at moments when a request ends.
constexpr double load_weight = 0.4;
// A machine's told slowdown fades with this: the users' targets' machines
// change speed every 600 ms.
constexpr seconds slowdown_memory{0.6};
constexpr double failure_weight = 0.25;
// What failed this long ago counts for a third of it.
constexpr seconds failure_memory{3.0};
// Failures in a row after which a target is ejected, and for how long at
// first; doubles with each further failure.
constexpr std::uint32_t eject_after = 2;
constexpr base::duration first_ejection = 500ms;
constexpr base::duration longest_ejection = 4s;
// How long a target that came back is treated as cold: until its own report
// of it has surely come in.
constexpr base::duration return_time = 3s;
// The sliding second of the cold rate, and what clocks and links may add.
constexpr base::duration cold_window = 1100ms;

} // namespace

void target_state::started(base::time_point now) {
    ++m_in_flight;
    m_began.push_back(now);
    m_sent.push_back(now);
    while (!m_sent.empty() && now - m_sent.front() >= cold_window) {
        m_sent.pop_front();
    }
}

void target_state::ended(attempt_result r, base::time_point began,
                         base::time_point now) {
    m_in_flight -= m_in_flight > 0 ? 1 : 0;
    const auto open = std::find(m_began.begin(), m_began.end(), began);
    if (open != m_began.end()) {
        m_began.erase(open);
    }
    if (r == attempt_result::cancelled) {
        return;
    }
    const bool failed = r != attempt_result::answered;
    const double before = failure_share(now);
    m_failures = before + ((failed ? 1.0 : 0.0) - before) * failure_weight;
    m_failures_at = now;
    if (r == attempt_result::connect_failed || r == attempt_result::lost) {
        return fail(now);
    }
    if (m_failed_in_row >= eject_after) {
        m_returned_at = now;
    }
    m_failed_in_row = 0;
    m_ejected_until = {};
    m_last_answer = now;
}

void target_state::fail(base::time_point now) {
    ++m_failed_in_row;
    if (m_failed_in_row < eject_after) {
        return;
    }
    const auto doublings = std::min(m_failed_in_row - eject_after, 4U);
    m_ejected_until =
        now + std::min(longest_ejection, first_ejection * (1 << doublings));
}

void target_state::told(const request::target_load& load,
                        base::time_point now) {
    const double others = std::max(0.0, static_cast<double>(load.running) +
                                            load.waiting - m_in_flight);
    m_others =
        m_told_at ? m_others + (others - m_others) * load_weight : others;
    m_slowdown = std::max(1U, load.slowdown_percent) / 100.0;
    m_told_at = now;
}

double target_state::occupancy() const {
    return m_in_flight + m_others;
}

double target_state::slowdown(base::time_point now) const {
    if (!m_told_at) {
        return 1;
    }
    const double kept = std::exp(-seconds(now - *m_told_at) / slowdown_memory);
    return std::max(0.5, 1 + (m_slowdown - 1) * kept);
}

double target_state::failure_share(base::time_point now) const {
    if (m_failures == 0) {
        return 0;
    }
    return m_failures *
           std::exp(-seconds(now - m_failures_at) / failure_memory);
}

bool target_state::ejected(base::time_point now) const {
    return now < m_ejected_until ||
           // One probe at a time.
           (m_failed_in_row >= eject_after && m_in_flight > 0);
}

bool target_state::unresponsive(base::duration limit,
                                base::time_point now) const {
    return !m_began.empty() && now - m_began.front() > limit &&
           m_last_answer < m_began.front();
}

bool target_state::returned_lately(base::time_point now) const {
    return m_failed_in_row >= eject_after ||
           (m_returned_at != base::time_point{} &&
            now - m_returned_at < return_time);
}

std::size_t target_state::sent_last_second(base::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_sent.begin(), m_sent.end(),
                      [&](const auto& at) { return now - at < cold_window; }));
}

std::optional<base::duration>
target_state::load_age(base::time_point now) const {
    if (!m_told_at) {
        return std::nullopt;
    }
    return now - *m_told_at;
}

} // namespace pollenreel::dispatch
