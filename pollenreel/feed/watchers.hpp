// Which instances of a region watch the store for the others: the first few
// by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998)
// of instance and region. Every instance computes the same from the same list
// of live members, and a death moves only the dead one's part.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"

#include <vector>

namespace pollenreel::feed {

// Two, so that the death of one is not waited for.
constexpr std::size_t watchers_per_region = 2;

// A live instance.
struct member {
    base::instance_id instance;
    base::region_id region;
    base::endpoint address;

    friend bool operator==(const member&, const member&) = default;
};

// The watchers of `region` among `live`, first the one that speaks for it.
[[nodiscard]] std::vector<member> watchers_of(const base::region_id& region,
                                              const std::vector<member>& live);

} // namespace pollenreel::feed
