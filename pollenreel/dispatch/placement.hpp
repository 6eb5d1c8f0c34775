// Finds the best target of one attempt in the instance's own region and
// abroad: the least expected time to an answer, from the wait at the target
// and the time its work takes there. Requests for one object rank the targets
// alike at every instance (rendezvous hashing), so that an object stays in few
// caches; a queue there makes the next in the order cheaper, which bounds the
// load of each target (consistent hashing with bounded loads, Mirrokni,
// Thorup and Zadimoghaddam 2016).
//
// Answers the load pattern of objects that are asked for again and again,
// while nearly all slots are busy.
//
//   const auto best = place(candidates, {object, hash, &profile, 400ms, now});
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
    // A cold target whose rate leaves no request for this instance now.
    bool cold_quota_exhausted = false;
};

struct placement_query {
    std::string_view object; // what targets may have cached
    std::uint64_t object_hash = 0;
    const latency_profile* profile = nullptr;
    std::chrono::milliseconds target_latency{};
    base::time_point now{};
    std::span<const base::target_id> tried; // not to be chosen again
};

struct placement {
    const fleet::target* target = nullptr;
    placement_class kind;
    double occupancy = 0;      // requests running and waiting there
    base::duration wait{};     // for a slot
    base::duration expected{}; // until the answer, the wait included
    // What is compared: the expected time, and what else speaks against the
    // target.
    base::duration cost{};
};

struct placements {
    std::optional<placement> home; // empty: no target can be used now
    std::optional<placement> abroad;
    std::size_t candidates = 0; // that were compared
};

[[nodiscard]] placements find_placements(std::span<const candidate> candidates,
                                         const placement_query& q);

} // namespace pollenreel::dispatch
