// Bounds the attempts beyond the first of each request, to one service, over
// all instances: each spends a fixed ratio of its own recent requests and its
// part of a slack that all share (retry budget, as in Finagle).
//
//   repeat_budget b({0.2, 10s, 56});
//   b.request(now);
//   if (b.spend(instances, now)) { ... } // one more attempt
#pragma once

#include "pollenreel/base/clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenreel::dispatch {

struct retry_budget_limits {
    double ratio = 0.2;
    std::chrono::milliseconds window{10'000};
    double slack = 0; // attempts in a window, of all instances together
};

// Pure; one thread only.
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits t) : m_limits(t) {}

    void on_request(base::time_point now);
    // Takes one attempt. `instances` that are live, this one included; zero
    // when that is not known: then the slack is left to the others.
    bool try_spend(std::size_t instances, base::time_point now);
    [[nodiscard]] double remaining(std::size_t instances, base::time_point now);

private:
    static constexpr std::size_t buckets = 20; // of a window

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    void advance(base::time_point now);

    retry_budget_limits m_limits;
    std::array<bucket, buckets> m_buckets{};
    std::int64_t m_current = 0; // number of the newest bucket
};

} // namespace pollenreel::dispatch
