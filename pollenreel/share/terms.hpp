// The times that shares and the holder's lease are counted by. All are
// counted on the monotonic clock of whoever relies on them; clocks may run
// apart by `clock_rate_error`.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>

namespace pollenreel::share {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// How far the rates of two monotonic clocks may differ.
constexpr double max_clock_drift = 0.001;

// How long a share may be used, from before it was asked for. Longer keeps
// shares through longer outages of the store; shorter frees sooner what an
// instance held that died.
constexpr minutes share_term{15};
// Answers to requests that were sent under a share arrive this long after its
// end at the latest; nobody else is given the share before.
constexpr seconds share_grace_period{5};
// How long the holder may grant, from before it asked to renew its lease.
// Longer rides out short outages; shorter frees sooner the part that nobody
// claims after a holder's death.
constexpr seconds lease_term{10};
constexpr seconds lease_renewal_period{3};
// Least time between two writes of one holder.
constexpr milliseconds min_write_interval{500};

// How often an instance renews and adapts its shares. Trades messages to the
// holder against how soon shares follow demand.
constexpr seconds request_period{5};
// Least time between two asks to one holder. Longer than an answer takes to
// arrive, so that a lowered share is reported only when what was sent under
// the greater one is back.
constexpr seconds min_request_interval{1};

// `d` on one clock is surely over on another after this.
[[nodiscard]] constexpr base::duration with_clock_drift(base::duration d) {
    return d + std::chrono::duration_cast<base::duration>(
                   std::chrono::duration<double>(d) * max_clock_drift);
}

} // namespace pollenreel::share
