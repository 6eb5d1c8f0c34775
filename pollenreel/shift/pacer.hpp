// Keeps what one sender exchanges with another region under a rate in every
// window of 100 ms, each way. Requests are counted when they are sent;
// answers are reserved for from then until they are in, for nobody can say
// when they come.
//
//   shift::pacer p;
//   if (p.fits(cost, bytes_per_second, now)) { p.start(cost, now); send(); }
//   p.finish(cost, actual_answer_bytes, took, now);
//
// A token bucket on sending lets answers that were held up arrive together
// and exceed the cap. Here the answers that can arrive within one window are
// those in flight at its begin and those asked for early enough in it: no
// answer comes sooner than the least round trip. So an answer's reservation
// is kept for `window - least round trip` after it is in.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/shift/recent_least.hpp"
#include "pollenreel/shift/sliding_sum.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::shift {

constexpr std::chrono::milliseconds cap_window{100};

// What one attempt sends to another region and expects back.
struct cost {
    std::uint64_t request_bytes = 0;
    std::uint64_t answer_bytes = 0;

    friend bool operator==(const cost&, const cost&) = default;
};

class pacer {
public:
    // Whether `c` may start now under `bytes_per_second`.
    [[nodiscard]] bool fits(const cost& c, std::uint64_t bytes_per_second,
                            base::time_point now);
    // Whether `c` could start at all under that rate.
    [[nodiscard]] static bool is_possible(const cost& c,
                                          std::uint64_t bytes_per_second);

    void start(const cost& c, base::time_point now);
    // The attempt that started with `c` is over. `answer_bytes` came back;
    // `took` is empty when no whole answer did.
    void finish(const cost& c, std::uint64_t answer_bytes,
                std::optional<base::duration> took, base::time_point now);

    [[nodiscard]] std::uint64_t bytes_in_flight() const { return m_in_flight; }

private:
    sliding_sum m_sent{cap_window};
    sliding_sum m_received{cap_window};
    std::uint64_t m_in_flight = 0;
    recent_least m_round_trip;
    std::uint32_t m_round_trips = 0;
};

} // namespace pollenreel::shift
