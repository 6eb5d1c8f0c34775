#include "pollenreel/request/latency_histogram.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using seconds = std::chrono::duration<double>;

// Bin widths grow by 5%, which bounds the error of a quantile.
constexpr unsigned bins = 384;
constexpr double min_seconds = 1e-5;
constexpr double max_seconds = 1e3;
// A larger number keeps samples longer and adapts to changes later.
constexpr std::size_t samples_per_decay = 1000;
constexpr double min_samples = 20;

} // namespace

latency_histogram::latency_histogram()
    : m_counts(std::make_tuple(axis(bins, min_seconds, max_seconds)),
               counts()) {}

void latency_histogram::add(base::duration latency) {
    const auto s = std::chrono::duration_cast<seconds>(latency).count();
    m_counts(std::clamp(s, min_seconds, max_seconds * 0.99));
    m_total += 1;
    if (++m_samples_since_decay == samples_per_decay) {
        m_samples_since_decay = 0;
        m_counts *= 0.5;
        m_total *= 0.5;
    }
}

std::optional<base::duration> latency_histogram::quantile(double q) const {
    if (m_total < min_samples) {
        return std::nullopt;
    }
    double cumulative = 0;
    for (unsigned i = 0; i < bins; ++i) {
        cumulative += m_counts.at(static_cast<int>(i));
        if (cumulative >= q * m_total) {
            const auto edge = m_counts.axis().bin(static_cast<int>(i)).upper();
            return std::chrono::duration_cast<base::duration>(seconds(edge));
        }
    }
    return std::chrono::duration_cast<base::duration>(seconds(max_seconds));
}

} // namespace pollenreel::request
