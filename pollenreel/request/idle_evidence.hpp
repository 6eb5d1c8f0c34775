// Learns for how long connections to targets can stay idle and still work, from
// the requests that were sent on reused connections.
//
// This serves instances that send a target a request every few seconds: with
// a fixed short limit on the idle time, nearly every non-idempotent request
// opens a connection, which costs the target time of a slot.
//
//   idle_evidence e;
//   e.on_answered(3s, now);
//   const bool reuse = idle <= e.proven(now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <deque>

namespace pollenreel::request {

// Does no I/O. Not thread-safe.
class idle_evidence {
public:
    // A connection that had been idle for `idle` carried a request and its
    // response.
    void on_answered(base::duration idle, base::time_point now);
    // A connection that had been idle for `idle` broke before the response, or
    // turned out closed when it was to be used.
    void on_lost(base::duration idle, base::time_point now);
    // Idle time that recent responses show to be harmless; zero without enough
    // of them.
    [[nodiscard]] base::duration proven(base::time_point now) const;

private:
    struct reuse {
        base::time_point at;
        base::duration idle;
    };
    std::deque<reuse> m_answered; // oldest first
    std::deque<reuse> m_lost;
};

} // namespace pollenreel::request
