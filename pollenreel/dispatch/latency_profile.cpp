#include "pollenreel/dispatch/latency_profile.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Priors as fractions of the target latency. An object is more likely to be
// cached at targets that come early in its rendezvous order, and almost surely
// at one that has handled it recently.
constexpr std::array<double, placement_ranks> prior_unseen = {0.7, 0.9, 1.0,
                                                              1.1};
constexpr double prior_seen = 0.4;
// Added network latency to another region, as a fraction of the target latency.
constexpr double prior_abroad = 0.15;
// Number of samples that the prior counts for.
constexpr double prior_weight = 2;
// Length of the moving average, in samples.
constexpr double window_samples = 20;
// Samples are capped at this multiple of the mean: outliers say little about
// the next request.
constexpr double max_sample_ratio = 3;

} // namespace

std::string_view to_string(placement_rank r) {
    constexpr std::array<std::string_view, placement_ranks> names = {
        "first", "second", "third", "other"};
    return names.at(static_cast<std::size_t>(r));
}

std::size_t latency_profile::index(placement_class c) {
    return static_cast<std::size_t>(c.rank) +
           placement_ranks * ((c.abroad ? 1U : 0U) + (c.seen ? 2U : 0U));
}

latency_profile::latency_profile(std::chrono::milliseconds target_latency) {
    for (std::size_t rank = 0; rank < placement_ranks; ++rank) {
        for (const bool abroad : {false, true}) {
            for (const bool seen : {false, true}) {
                const auto prior = (seen ? prior_seen : prior_unseen.at(rank)) +
                                   (abroad ? prior_abroad : 0);
                m_means_by_class
                    .at(index(
                        {static_cast<placement_rank>(rank), abroad, seen}))
                    .value = seconds(target_latency) * prior;
            }
        }
    }
}

void latency_profile::add(placement_class c, base::duration took) {
    m_histogram.add(took);
    auto& mean_of_class = m_means_by_class.at(index(c));
    const auto sample =
        std::min(seconds(took), mean_of_class.value * max_sample_ratio);
    ++mean_of_class.samples;
    const auto weight =
        1.0 /
        std::min(window_samples,
                 static_cast<double>(mean_of_class.samples) + prior_weight);
    mean_of_class.value += (sample - mean_of_class.value) * weight;
}

base::duration latency_profile::expected(placement_class c) const {
    return std::chrono::duration_cast<base::duration>(
        m_means_by_class.at(index(c)).value);
}

} // namespace pollenreel::dispatch
