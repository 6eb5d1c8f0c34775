// One instance's shares: what it wants, what it holds and until when, and
// what it asks of each region's holder. Pure.
//
//   share::claimant c(me, my_address, share::floor_share(fleet_instances));
//   c.want(resource, share::whole);
//   if (auto a = c.next_ask(khomas, now)) send(holder, *a);
//   c.on_grant(grant, now);
//   auto s = c.share_of(resource, now); // usable until s.until
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/share/messages.hpp"

#include <map>
#include <optional>
#include <set>

namespace pollenreel::share {

// The part of every cap that is split evenly over the declared fleet and
// needs no lease. Greater keeps more for instances that start while the store
// is down; it is lost for as long as not all of the fleet use the resource.
constexpr ppm floor_pool{20'000};
// What holders cut shares from.
constexpr ppm leased_pool{whole.value - floor_pool.value};

// One instance's part of the floor.
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
    // Forgotten resources are given back with the next ask.
    void set_demand(const resource_id& r, ppm amount);
    // The regions whose holders this instance has shares from or wants some.
    [[nodiscard]] std::set<base::region_id> owners() const;

    // The ask that is due, if any. The latest ask is void once a next one is
    // made.
    [[nodiscard]] std::optional<request>
    next_request(const base::region_id& owner, base::time_point now);
    void on_grant(const grant& g, base::time_point now);
    // Asks sent to the owner since its latest answer.
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
