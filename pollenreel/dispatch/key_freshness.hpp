// Whether an instance may still rely on the keys that it knows.
//
// Load pattern: the store stops answering some or all instances while keys are
// withdrawn. A request sent at `s` arrives at or after `s`, so an instance that
// refuses on arrival whatever comes a bound after its last confirmation runs no
// request that was sent a bound after a withdrawal it has missed.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>

namespace pollenreel::dispatch {

// `confirmed_at`: the keys were those of the newest configuration then.
// `bound`: 0 if keys never lapse. `now`: after the request has been read.
[[nodiscard]] bool is_key_view_fresh(base::boot_time confirmed_at,
                                     std::chrono::milliseconds bound,
                                     base::boot_time now);

} // namespace pollenreel::dispatch
