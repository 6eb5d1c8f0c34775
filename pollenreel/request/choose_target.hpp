// Filter: chooses the target of one attempt among those of the service that
// take new work, nearest first.
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/request/types.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <span>

namespace pollenreel::request {

// Attempts of this traffic thread that are under way at each target.
using in_flight_counts =
    boost::unordered_flat_map<base::target_id, std::uint32_t>;

// Power of two choices (Mitzenmacher, 2001) on this thread's own in-flight
// attempts, among the service's targets in `region` that take new work.
// `tried` are left out; when none is left there, another region's targets are
// taken. Refuses with not_run: no_target.
[[nodiscard]] filtered<choice>
choose_target(const classified& c, const base::region_id& region,
              const routing::snapshot& s, const in_flight_counts& in_flight,
              std::span<const base::target_id> tried, base::random& random);

} // namespace pollenreel::request
