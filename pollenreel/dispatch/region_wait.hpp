// Measures how long requests of a service take at the targets of the own region
// and of others, to tell on which side callers wait longer. The estimates of
// placement are per target and seconds old; this is what callers met.
//
// This serves regions with few targets, whose queues are longer than those of
// the next region by more than the way there.
//
//   region_wait w;
//   w.add(false, 1.2, now); // an answer at home, after 1.2 target latencies
//   w.is_better_elsewhere(false, now);
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace pollenreel::dispatch {

// Does no I/O. Not thread-safe.
class region_wait {
public:
    // A request was answered `latencies` target latencies after its attempt
    // began, the way there included.
    void add(bool abroad, double latencies, base::time_point now);
    // An attempt was abandoned after that time.
    void add_unanswered(bool abroad, double latencies, base::time_point now);
    // Whether requests that are assigned abroad, or not, would be answered
    // sooner on the other side; nullopt without recent measurements of both.
    [[nodiscard]] std::optional<bool>
    is_better_elsewhere(bool abroad, base::time_point now) const;

private:
    struct side {
        double mean = 0; // target latencies
        std::uint32_t samples = 0;
        base::time_point updated_at{};
    };
    [[nodiscard]] static bool is_known(const side& s, base::time_point now);

    side m_home;
    side m_abroad;
};

} // namespace pollenreel::dispatch
