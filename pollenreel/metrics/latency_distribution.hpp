// A distribution of latencies in fixed logarithmic buckets, the same in every
// thread and instance, so that adding two of them up is exact: the merged one
// is what a single recorder of all samples would hold.
//
//   metrics::latency_distribution all;
//   for (const auto& one : per_thread) all.merge(one);
//   const auto p99 = all.quantile(0.99);
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenreel::metrics {

// Buckets of each power of two of microseconds. A value is known to one part
// in `buckets_per_octave`: a bucket's upper edge exceeds its lower edge by at
// most 6.25%.
constexpr std::size_t buckets_per_octave = 16;
// Powers of two covered above the first 16 us: up to about 4.8 hours.
constexpr std::size_t octaves = 30;
constexpr std::size_t bucket_count = buckets_per_octave * (octaves + 1);

using latency_buckets = std::array<std::uint64_t, bucket_count>;

// The bucket of a latency; below zero counts as zero, beyond the last bucket
// as the last.
[[nodiscard]] std::size_t bucket_of(std::chrono::nanoseconds latency);
// The least latency that is above every value of the bucket.
[[nodiscard]] std::chrono::microseconds upper_edge(std::size_t bucket);

struct latency_distribution {
    std::uint64_t count = 0;
    std::chrono::nanoseconds sum{0};
    std::chrono::nanoseconds greatest{0};
    latency_buckets buckets{};

    void merge(const latency_distribution& other);
    // The upper edge of the bucket that holds the sample of rank q * count
    // (nearest rank), at most `greatest`. Never below the true sample
    // quantile, and above it by at most 6.25%, or 1 us. Zero without samples.
    [[nodiscard]] std::chrono::nanoseconds quantile(double q) const;

    friend bool operator==(const latency_distribution&,
                           const latency_distribution&) = default;
};

} // namespace pollenreel::metrics
