// Estimates how long requests of one kind take at a service's targets,
// depending on the target's region and on how likely it has the request's
// object cached. Learns from answers.
//
//   latency_profile p(400ms);
//   p.add({placement_rank::first}, 170ms);
//   p.expected({placement_rank::second});
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/request/latency_histogram.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace pollenreel::dispatch {

// Position of a target in an object's rendezvous order, counted separately for
// the instance's own region and for all others.
enum class placement_rank : std::uint8_t { first, second, third, other };
constexpr std::size_t placement_ranks = 4;
[[nodiscard]] std::string_view to_string(placement_rank r);

// Attempts of the same class are expected to take the same time.
struct placement_class {
    placement_rank rank = placement_rank::other;
    bool abroad = false;
    bool seen = false; // the target has recently handled the object for us
};

class latency_profile {
public:
    // `target_latency` (answers after it are late) scales the priors.
    explicit latency_profile(std::chrono::milliseconds target_latency);

    // Adds the duration of an attempt that did not queue at its target, scaled
    // to the target's normal speed.
    void add(placement_class c, base::duration took);
    [[nodiscard]] base::duration expected(placement_class c) const;
    // Quantile `q` (0 to 1) of all durations; nullopt until a few were added.
    [[nodiscard]] std::optional<base::duration> quantile(double q) const {
        return m_histogram.quantile(q);
    }

private:
    struct mean {
        std::chrono::duration<double> value{};
        std::uint32_t samples = 0;
    };
    static constexpr std::size_t class_count = placement_ranks * 4;
    static std::size_t index(placement_class c);

    std::array<mean, class_count> m_means_by_class;
    request::latency_histogram m_histogram;
};

} // namespace pollenreel::dispatch
