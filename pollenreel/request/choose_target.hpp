// Filter: chooses the target of one attempt among those of the service that
// take new work, nearest first.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/request/target_tracker.hpp"
#include "pollenreel/request/types.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <variant>

namespace pollenreel::request {

// Each in turn. Blind to load; the baseline of the measures.
struct round_robin {};
// Power of two choices (Mitzenmacher, 2001) on own in-flight attempts.
struct two_choices {};
// The target with the fewest own in-flight attempts, the longest unused first.
struct least_in_flight {};
// Least in-flight among the cold targets, after Prequal's hot-cold rule
// (Wydrowski et al., NSDI 2024). Hot is told without probes or reports, from
// own answers and from the age of the oldest attempt under way, so that the
// targets are not burdened and a late report cannot draw all entries to one.
struct cold_first {};

using target_policy =
    std::variant<cold_first, least_in_flight, two_choices, round_robin>;

struct target_constraints {
    std::span<const base::target_id> excluded; // left out
    // Taken before others while one of them is cold; empty: no preference.
    std::span<const base::target_id> preferred;
    // Those that this thread connects to; empty: all.
    std::span<const base::target_id> subset;
    // Attempts that it may have under way at one target.
    std::uint32_t max_in_flight_per_target =
        std::numeric_limits<std::uint32_t>::max();
};

// Chooses among the service's targets in `region` that take new work; when
// none is left there, another region's targets are taken. Refuses with not_run:
// no_target.
[[nodiscard]] filter_result<chosen_target>
choose_target(const classified_request& c, const base::region_id& region,
              const routing::snapshot& s, const target_policy& policy,
              target_tracker& book, const target_constraints& wishes,
              base::time_point now, base::random& random);

} // namespace pollenreel::request
