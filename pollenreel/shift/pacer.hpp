// Keeps one sender's traffic with another region below a rate in every window
// of 100 ms, in each direction. Request bytes count when they are sent. Answer
// bytes are reserved from then until the answer has arrived, because its
// arrival time is unknown.
//
//   shift::pacer p;
//   if (p.fits(cost, bytes_per_second, now)) { p.start(cost, now); send(); }
//   p.finish(cost, actual_answer_bytes, took, now);
//
// A token bucket on requests would let delayed answers arrive together and
// exceed the cap. The answers that can arrive within one window are those in
// flight at its start and those requested early enough within it, since no
// answer arrives sooner than the minimum round trip. An answer's reservation is
// therefore kept for `window - minimum round trip` after it arrives.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/shift/recent_least.hpp"
#include "pollenreel/shift/sliding_sum.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenreel::shift {

constexpr std::chrono::milliseconds cap_window{100};

// Bytes that one attempt sends to another region and expects back.
struct cost {
    std::uint64_t request_bytes = 0;
    std::uint64_t answer_bytes = 0;

    friend bool operator==(const cost&, const cost&) = default;
};

class pacer {
public:
    // Whether `c` may start now at `bytes_per_second`.
    [[nodiscard]] bool fits(const cost& c, std::uint64_t bytes_per_second,
                            base::time_point now);
    // Whether `c` could ever start at that rate.
    [[nodiscard]] static bool is_possible(const cost& c,
                                          std::uint64_t bytes_per_second);

    void start(const cost& c, base::time_point now);
    // Ends the attempt that started with `c` and received `answer_bytes`.
    // `took` is empty if no complete answer arrived.
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
