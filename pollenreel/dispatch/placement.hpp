// Finds the best target for an attempt in the instance's own region and in
// other regions: the one with the lowest cost, which is the expected wait and
// work time plus penalties. All instances rank the targets for an object alike
// (rendezvous hashing), so that an object stays in few caches. A queue at a
// target makes the next one in the order cheaper, which bounds the load of
// each target (consistent hashing with bounded loads, Mirrokni, Thorup and
// Zadimoghaddam 2016).
//
// This serves objects that are requested repeatedly while nearly all slots are
// busy.
//
//   const auto best =
//       find_placements(candidates, {object, hash, &profile, 400ms, now, {}});
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/latency_profile.hpp"
#include "pollenreel/dispatch/target_state.hpp"
#include "pollenreel/fleet/view.hpp"

#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace pollenreel::dispatch {

struct candidate {
    const fleet::target* target = nullptr;
    const target_state* state = nullptr;
    bool abroad = false; // in another region than the instance
    // This instance must not send to the target now: it is cold and the quota
    // is used up, or it wants no requests.
    bool withheld = false;
    // This instance has as many attempts there as connections.
    bool lacks_connection = false;
};

struct placement_query {
    std::string_view object; // key of what targets may have cached
    std::uint64_t object_hash = 0;
    const latency_profile* profile = nullptr;
    std::chrono::milliseconds target_latency{};
    base::time_point now{};
    std::span<const base::target_id> tried; // these are not chosen again
    bool needs_room = false; // only targets with a free slot are chosen
};

// A target with the estimates for an attempt there.
struct placement {
    const fleet::target* target = nullptr;
    placement_class kind;
    double occupancy = 0;      // requests running and waiting there
    base::duration wait{};     // for a slot
    base::duration expected{}; // until the answer, the wait included
    // What candidates are compared by: the weighted expected time and the
    // penalties.
    base::duration cost{};
};

struct placements {
    std::optional<placement> home; // nullopt if no target is usable
    std::optional<placement> abroad;
    std::size_t candidates = 0; // number compared
    // Until a usable target has a free slot; nullopt if none is usable.
    std::optional<base::duration> shortest_wait;
};

[[nodiscard]] placements find_placements(std::span<const candidate> candidates,
                                         const placement_query& query);

} // namespace pollenreel::dispatch
