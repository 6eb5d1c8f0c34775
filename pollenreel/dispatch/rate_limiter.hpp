// Keeps one instance's requests to a target within its share of the target's
// limit: a token bucket for an instance that sends, a short window in each
// period for one that probes.
//
//   rate_limiter l;
//   l.set(share, phase, now);
//   if (l.allows(now)) { l.on_sent(now); }
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/limit_share.hpp"

namespace pollenreel::dispatch {

// Does no I/O. Not thread-safe.
class rate_limiter {
public:
    // `phase`, 0 to 1, differs between instances and spreads their first
    // requests. Requests saved under an earlier share are kept.
    void set(const limit_share& share, double phase, base::time_point now);
    [[nodiscard]] bool allows(base::time_point now) const;
    void on_sent(base::time_point now);
    // When the next request is allowed.
    [[nodiscard]] base::time_point next_at(base::time_point now) const;

private:
    [[nodiscard]] double saved(base::time_point now) const;
    // Begin of the probe window that is open or comes next.
    [[nodiscard]] base::time_point window_at(base::time_point now) const;

    limit_share m_share;
    bool m_is_set = false;
    double m_phase = 0;
    double m_saved = 0; // requests, at m_counted_at
    base::time_point m_counted_at{};
    base::time_point m_sent_at{};
};

} // namespace pollenreel::dispatch
