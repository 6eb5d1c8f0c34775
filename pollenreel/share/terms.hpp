// Durations of shares and of the holder's lease. Each process measures them on
// its own monotonic clock; the rates of two such clocks may differ by up to
// `max_clock_drift`.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>

namespace pollenreel::share {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Largest relative difference between the rates of two monotonic clocks.
constexpr double max_clock_drift = 0.001;

// How long a share is valid, counted from before it was requested. A longer
// duration preserves shares through longer store outages; a shorter one frees
// the shares of a dead instance sooner.
constexpr minutes share_term{15};
// Responses to traffic sent under a share arrive at most this long after the
// share expires. It is not granted to another claimant earlier.
constexpr seconds share_grace_period{5};
// How long the holder may grant shares, counted from before it sent the
// renewal. A longer duration survives short outages; a shorter one frees
// unclaimed shares sooner after a holder dies.
constexpr seconds lease_term{10};
constexpr seconds lease_renewal_period{3};
// Minimum time between two writes by one holder.
constexpr milliseconds min_write_interval{500};

// How often an instance renews and adjusts its shares. A shorter period makes
// shares follow demand sooner and sends more messages to the holder.
constexpr seconds request_period{5};
// Minimum time between two requests to one holder. Longer than a response
// takes to arrive, so that a reduced share is reported only after responses to
// traffic sent under the larger one have arrived.
constexpr seconds min_request_interval{1};

// Returns the time after which `d`, measured on one clock, has certainly passed
// on any other.
[[nodiscard]] constexpr base::duration with_clock_drift(base::duration d) {
    return d + std::chrono::duration_cast<base::duration>(
                   std::chrono::duration<double>(d) * max_clock_drift);
}

} // namespace pollenreel::share
