// Filter: chooses the target of one attempt among the targets of the service
// that accept new work.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/request/target_tracker.hpp"
#include "pollenreel/request/types.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <variant>

namespace pollenreel::request {

// Round robin, regardless of load. The baseline of the benchmarks.
struct round_robin {};
// Power of two choices (Mitzenmacher, 2001) by local in-flight attempts.
struct two_choices {};
// The target with the fewest local in-flight attempts; ties go to the least
// recently used one.
struct least_in_flight {};
// Least in-flight among the cold targets, after Prequal's hot-cold rule
// (Wydrowski et al., NSDI 2024). A target is classified as hot without probes
// or load reports, from the latency of local responses and the age of the
// oldest attempt in flight. This adds no load to targets, and a stale report
// cannot direct all entries to one target.
struct cold_first {};

using target_policy =
    std::variant<cold_first, least_in_flight, two_choices, round_robin>;

struct target_constraints {
    std::span<const base::target_id> excluded; // not eligible
    // Used first as long as one of them is cold; empty: no preference.
    std::span<const base::target_id> preferred;
    // Targets that this thread connects to; empty: all.
    std::span<const base::target_id> subset;
    // Maximum attempts of this thread in flight at one target.
    std::uint32_t max_in_flight_per_target =
        std::numeric_limits<std::uint32_t>::max();
};

// Chooses among the service's targets in `region` that accept new work. Refuses
// with outcome not_run: no_target when there is none, overloaded when all of
// them have reached the in-flight limit.
[[nodiscard]] filter_result<chosen_target>
choose_target(const classified_request& request, const base::region_id& region,
              const routing::snapshot& snapshot, const target_policy& policy,
              target_tracker& tracker, const target_constraints& constraints,
              base::time_point now, base::random& random);

} // namespace pollenreel::request
