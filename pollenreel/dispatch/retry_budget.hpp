// Bounds repeated and hedged attempts to one service over all instances: each
// may spend a fixed ratio of its own recent requests and its part of a shared
// slack (retry budget, as in Finagle).
//
//   retry_budget b({0.2, 10s, 56});
//   b.on_request(now);
//   if (b.try_spend(instances, now)) { ... } // one more attempt
#pragma once

#include "pollenreel/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenreel::dispatch {

struct retry_budget_limits {
    double ratio = 0.2; // attempts beyond the first, per request
    std::chrono::milliseconds window{10'000};
    double slack = 0; // further attempts per window, shared by all instances
};

// Does no I/O. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits t) : m_limits(t) {}

    void on_request(base::time_point now);
    // Takes one attempt from the budget if it has one. `instances` is the
    // number of live instances, including this one, or 0 if unknown: then the
    // slack is left to the others.
    bool try_spend(std::size_t instances, base::time_point now);
    [[nodiscard]] double remaining(std::size_t instances, base::time_point now);

private:
    static constexpr std::size_t buckets = 20; // per window

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    void advance(base::time_point now);

    retry_budget_limits m_limits;
    std::array<bucket, buckets> m_buckets{};
    std::int64_t m_current = 0; // number of the newest bucket since the epoch
};

} // namespace pollenreel::dispatch
