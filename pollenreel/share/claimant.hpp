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
constexpr parts floor_pool{20'000};
// What holders cut shares from.
constexpr parts leased_pool{whole.value - floor_pool.value};

// One instance's part of the floor.
[[nodiscard]] parts floor_share(std::uint32_t fleet_instances);

struct usable_share {
    parts now;   // until `until`
    parts after; // from then on
    base::time_point until;
};

class claimant {
public:
    claimant(claimant_id self, base::endpoint reply_to, parts floor);

    void set_floor(parts floor) { m_floor = floor; }
    // Forgotten resources are given back with the next ask.
    void want(const resource& r, parts amount);
    // The regions whose holders this instance has shares from or wants some.
    [[nodiscard]] std::set<base::region_id> owners() const;

    // The ask that is due, if any. The latest ask is void once a next one is
    // made.
    [[nodiscard]] std::optional<ask> next_ask(const base::region_id& owner,
                                              base::time_point now);
    void on_grant(const grant& g, base::time_point now);
    // Asks sent to the owner since its latest answer.
    [[nodiscard]] std::uint32_t unanswered(const base::region_id& owner) const;

    [[nodiscard]] usable_share share_of(const resource& r,
                                        base::time_point now) const;

private:
    struct share {
        parts wanted;
        parts held;
        base::time_point until;
    };
    struct pending {
        std::uint64_t sequence = 0;
        std::uint64_t epoch = 0;
        base::time_point asked_at;
        bool answered = false;
        std::uint32_t unanswered = 0;
    };

    [[nodiscard]] bool short_of_share(const base::region_id& owner,
                                      base::time_point now) const;

    claimant_id m_self;
    base::endpoint m_reply_to;
    parts m_floor;
    std::uint64_t m_last_sequence = 0;
    std::map<resource, share> m_shares;
    std::map<base::region_id, pending> m_pending;
};

} // namespace pollenreel::share
