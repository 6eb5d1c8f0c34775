// The rule of quotas: no more than (rate x window + burst) x (1 + over) + slack
// requests of a tenant run in any window, over all instances.
#pragma once

#include <chrono>

namespace pollenreel::quota {

struct limits {
    std::chrono::milliseconds window{5000};
    double over = 0.1;
    double slack = 20; // requests

    friend bool operator==(const limits&, const limits&) = default;
};

// What a tenant may send.
struct tenant_limit {
    double per_second = 0;
    double burst = 0;

    friend bool operator==(const tenant_limit&, const tenant_limit&) = default;
};

// Number of requests above rate x window that the rule allows in a window.
[[nodiscard]] inline double allowed_excess(const limits& l,
                                           const tenant_limit& t) {
    const double whole =
        t.per_second * std::chrono::duration<double>(l.window).count() +
        t.burst;
    return t.burst + whole * l.over + l.slack;
}

// How often an instance reports to its hub, and a hub asks the others. At 500
// ms a tenant that rises to 13 times its usual demand at once exceeds the rule
// by up to a fifth before 80 instances have heard of it.
constexpr std::chrono::milliseconds report_interval{200};
// An instance without news for this long uses only its own share.
constexpr std::chrono::milliseconds news_lifetime{1500};
// Memory of the rates from which shares are derived.
constexpr std::chrono::milliseconds share_memory{10'000};

} // namespace pollenreel::quota
