#include "pollenreel/dispatch/work_profile.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// First guesses, as a part of the target latency: an object is more likely in
// the cache of the targets that come first in its order.
constexpr std::array<double, placement_ranks> first_guess = {0.4, 0.5, 0.7, 0.9,
                                                             0.6, 0.8, 1.0};
// Samples that a first guess weighs as much as.
constexpr double guess_weight = 2;
// A mean follows about this many recent samples.
constexpr double window = 20;
// A sample counts for at most this multiple of the mean: stragglers say
// little about the next request.
constexpr double most_ratio = 3;

} // namespace

std::string_view to_string(placement_rank r) {
    constexpr std::array<std::string_view, placement_ranks> names = {
        "home_first", "home_second", "home_third", "home_other",
        "away_first", "away_second", "away_other"};
    return names.at(static_cast<std::size_t>(r));
}

work_profile::work_profile(std::chrono::milliseconds target_latency) {
    for (std::size_t i = 0; i < placement_ranks; ++i) {
        m_means.at(i).value = seconds(target_latency) * first_guess.at(i);
    }
}

void work_profile::add(placement_rank r, base::duration took) {
    m_all.add(took);
    auto& m = m_means.at(static_cast<std::size_t>(r));
    const auto sample = std::min(seconds(took), m.value * most_ratio);
    ++m.samples;
    const auto weight =
        1.0 / std::min(window, static_cast<double>(m.samples) + guess_weight);
    m.value += (sample - m.value) * weight;
}

base::duration work_profile::expected(placement_rank r) const {
    return std::chrono::duration_cast<base::duration>(
        m_means.at(static_cast<std::size_t>(r)).value);
}

} // namespace pollenreel::dispatch
