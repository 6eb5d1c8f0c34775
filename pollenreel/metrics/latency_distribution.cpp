#include "pollenreel/metrics/latency_distribution.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace pollenreel::metrics {

namespace {

constexpr std::uint64_t linear = buckets_per_octave;
constexpr int linear_bits = std::bit_width(linear) - 1;

} // namespace

// Up to 16 us a bucket is 1 us wide; each further octave has 16 equal ones, as
// in an HDR histogram.
std::size_t bucket_of(std::chrono::nanoseconds latency) {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const auto whole = duration_cast<microseconds>(latency).count();
    const auto us =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, whole));
    if (us < linear) {
        return us;
    }
    const int octave = std::bit_width(us) - 1 - linear_bits;
    const auto within = (us >> octave) - linear;
    const auto index =
        linear * (static_cast<std::uint64_t>(octave) + 1) + within;
    return std::min<std::size_t>(index, bucket_count - 1);
}

std::chrono::microseconds upper_edge(std::size_t bucket) {
    if (bucket < linear) {
        return std::chrono::microseconds(bucket + 1);
    }
    const auto octave = bucket / linear - 1;
    const auto within = bucket % linear;
    return std::chrono::microseconds((linear + within + 1) << octave);
}

void latency_distribution::merge(const latency_distribution& other) {
    count += other.count;
    sum += other.sum;
    greatest = std::max(greatest, other.greatest);
    for (std::size_t i = 0; i < bucket_count; ++i) {
        buckets[i] += other.buckets[i];
    }
}

std::chrono::nanoseconds latency_distribution::quantile(double q) const {
    const auto rank = static_cast<std::uint64_t>(
        std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(count)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        seen += buckets[i];
        if (seen >= std::max<std::uint64_t>(rank, 1)) {
            return std::min<std::chrono::nanoseconds>(upper_edge(i), greatest);
        }
    }
    return std::chrono::nanoseconds(0);
}

} // namespace pollenreel::metrics
