#include "pollenreel/shift/pacer.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

// Answers needed before the minimum round trip is used.
constexpr std::uint32_t min_round_trips = 100;
// Fraction of the minimum round trip that is assumed.
constexpr double round_trip_margin = 0.95;

std::uint64_t per_window(std::uint64_t bytes_per_second) {
    return bytes_per_second / (std::chrono::seconds(1) / cap_window);
}

} // namespace

bool pacer::is_possible(const cost& c, std::uint64_t bytes_per_second) {
    return std::max(c.request_bytes, c.answer_bytes) <=
           per_window(bytes_per_second);
}

bool pacer::fits(const cost& c, std::uint64_t bytes_per_second,
                 base::time_point now) {
    const auto max_bytes = per_window(bytes_per_second);
    return m_sent.sum(now) + c.request_bytes <= max_bytes &&
           m_in_flight + m_received.sum(now) + c.answer_bytes <= max_bytes;
}

void pacer::start(const cost& c, base::time_point now) {
    m_sent.add(c.request_bytes, now);
    m_in_flight += c.answer_bytes;
}

void pacer::finish(const cost& c, std::uint64_t answer_bytes,
                   std::optional<base::duration> took, base::time_point now) {
    m_in_flight -= c.answer_bytes;
    m_received.add(answer_bytes, now);
    if (!took) {
        return;
    }
    m_round_trip.add(*took, now);
    if (++m_round_trips < min_round_trips) {
        return;
    }
    const auto assumed_round_trip = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(*m_round_trip.value()) *
        round_trip_margin);
    m_received.set_window(std::max<base::duration>(
        cap_window - assumed_round_trip, cap_window / 100));
}

} // namespace pollenreel::shift
