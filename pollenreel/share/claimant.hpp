// One instance's shares: its demand, what it holds and until when, and the
// requests that it sends to each region's holder. Performs no I/O.
//
//   share::claimant c(self, address, share::floor_share(fleet_instances));
//   c.set_demand(resource, share::whole);
//   if (auto r = c.next_request(khomas, now)) send(holder, *r);
//   c.on_grant(grant, now);
//   auto s = c.share_of(resource, now); // usable until s.until
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/share/messages.hpp"

#include <map>
#include <optional>
#include <set>

namespace pollenreel::share {

// Part of every cap that is split evenly over the declared fleet and needs no
// lease. A larger floor leaves more to instances that start while the store is
// down; the part of instances that do not use the resource is wasted.
constexpr ppm floor_pool{20'000};
// Part of every cap from which holders grant shares.
constexpr ppm leased_pool{whole.value - floor_pool.value};

// Returns one instance's part of the floor.
[[nodiscard]] ppm floor_share(std::uint32_t fleet_instances);

struct usable_share {
    ppm now;   // until `until`
    ppm after; // from then on
    base::time_point until;
};

class claimant {
public:
    claimant(incarnation_id self, base::endpoint reply_to, ppm floor);

    void set_floor(ppm floor) { m_floor = floor; }
    // A demand of zero returns the share with the next request.
    void set_demand(const resource_id& r, ppm amount);
    // Regions from whose holders this instance has or needs shares.
    [[nodiscard]] std::set<base::region_id> owners() const;

    // Returns the request that is due, if any. Grants for earlier requests are
    // ignored from then on.
    [[nodiscard]] std::optional<request>
    next_request(const base::region_id& owner, base::time_point now);
    void on_grant(const grant& answer, base::time_point now);
    // Requests sent to the owner since its latest grant.
    [[nodiscard]] std::uint32_t
    unanswered_requests(const base::region_id& owner) const;

    [[nodiscard]] usable_share share_of(const resource_id& r,
                                        base::time_point now) const;

private:
    struct held_share {
        ppm demand;
        ppm held;
        base::time_point until;
    };
    struct request_state {
        std::uint64_t sequence = 0;
        std::uint64_t epoch = 0;
        base::time_point sent_at;
        bool answered = false;
        std::uint32_t unanswered = 0;
    };

    [[nodiscard]] bool lacks_share(const base::region_id& owner,
                                   base::time_point now) const;

    incarnation_id m_self;
    base::endpoint m_reply_to;
    ppm m_floor;
    std::uint64_t m_last_sequence = 0;
    std::map<resource_id, held_share> m_shares;
    std::map<base::region_id, request_state> m_requests;
};

} // namespace pollenreel::share
