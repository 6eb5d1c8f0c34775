// How long requests of one kind take at a service's targets, learnt from
// answers, by how near the target is and whether it is likely to hold the
// request's object in its cache.
//
//   work_profile p(400ms);
//   p.add(placement_rank::home_first, 170ms);
//   p.expected(placement_rank::home_second);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/request/latency_histogram.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace pollenreel::dispatch {

// Where a target stands in the order of an object's targets: the instance's
// own region first, within it by rendezvous hashing.
enum class placement_rank : std::uint8_t {
    home_first,
    home_second,
    home_third,
    home_other,
    away_first,
    away_second,
    away_other,
};
constexpr std::size_t placement_ranks = 7;
[[nodiscard]] std::string_view to_string(placement_rank r);

class work_profile {
public:
    // `target_latency`: answers after it are late; guides the first guesses.
    explicit work_profile(std::chrono::milliseconds target_latency);

    // An attempt that met no queue at its target took this long, scaled to a
    // target at its usual speed.
    void add(placement_rank r, base::duration took);
    [[nodiscard]] base::duration expected(placement_rank r) const;
    // Quantile of all attempts; empty until some were added.
    [[nodiscard]] std::optional<base::duration> quantile(double q) const {
        return m_all.quantile(q);
    }

private:
    struct mean {
        std::chrono::duration<double> value{};
        std::uint32_t samples = 0;
    };
    std::array<mean, placement_ranks> m_means;
    request::latency_histogram m_all;
};

} // namespace pollenreel::dispatch
