// Rates and credit over time, shared by gate and ledger.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <chrono>

namespace pollenreel::quota {

// A rate in events a second, averaged with exponentially falling weights. It
// is not biased towards 0 soon after its start.
class decaying_rate {
public:
    decaying_rate(std::chrono::milliseconds memory, base::time_point start)
        : m_memory(memory), m_at(start) {}

    // `spread`: the events are spread evenly over this time before `now`.
    void add(double events, base::time_point now, base::duration spread = {});
    [[nodiscard]] double per_second(base::time_point now) const;
    // As of the last `add`.
    [[nodiscard]] double latest() const { return per_second(m_at); }

private:
    std::chrono::duration<double> m_memory;
    base::time_point m_at;
    double m_events = 0;  // weighted
    double m_seconds = 0; // weighted, at `m_at`
};

// A token bucket whose rate and depth may change; starts empty.
class credit {
public:
    explicit credit(base::time_point start) : m_at(start) {}

    // Adds what has come in since the last call.
    void refill(double per_second, double depth, base::time_point now);
    void spend(double amount) { m_amount -= amount; }
    [[nodiscard]] double amount() const { return m_amount; }
    [[nodiscard]] base::time_point at() const { return m_at; }

private:
    base::time_point m_at;
    double m_amount = 0;
};

[[nodiscard]] inline double seconds(base::duration d) {
    return std::chrono::duration<double>(d).count();
}

} // namespace pollenreel::quota
