#include "pollenreel/dispatch/key_freshness.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

// Covers clocks that differ in rate and the granularity of stated times.
constexpr std::chrono::milliseconds min_margin{50};
constexpr int margin_fraction = 50; // of the bound

} // namespace

bool is_key_view_fresh(base::boot_time confirmed_at,
                       std::chrono::milliseconds bound, base::boot_time now) {
    if (bound == std::chrono::milliseconds::zero()) {
        return true;
    }
    const auto margin = std::max(min_margin, bound / margin_fraction);
    return confirmed_at != base::boot_time{} &&
           now - confirmed_at < bound - margin;
}

} // namespace pollenreel::dispatch
