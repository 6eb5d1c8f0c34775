// How long requests of one kind take at a service's targets, learnt from
// answers, by how near the target is and whether it is likely to hold the
// request's object in its cache.
//
//   work_profile p(400ms);
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

// Where a target stands in the order of an object's targets on its side: in
// the instance's own region, or abroad.
enum class placement_rank : std::uint8_t { first, second, third, other };
constexpr std::size_t placement_ranks = 4;
[[nodiscard]] std::string_view to_string(placement_rank r);

// What the time of an attempt depends on.
struct placement_class {
    placement_rank rank = placement_rank::other;
    bool abroad = false;
    bool seen = false; // the target has handled the object lately, for us
};

class latency_profile {
public:
    // `target_latency`: answers after it are late; guides the first guesses.
    explicit latency_profile(std::chrono::milliseconds target_latency);

    // An attempt that met no queue at its target took this long, scaled to a
    // target at its usual speed.
    void add(placement_class c, base::duration took);
    [[nodiscard]] base::duration expected(placement_class c) const;
    // Quantile of all attempts; empty until some were added.
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
