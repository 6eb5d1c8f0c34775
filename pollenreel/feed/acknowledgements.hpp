// Who applies which version. Each instance acknowledges to the watchers of
// its region; the first of them says in one line what all of the region apply
// (its floor), and the floors are passed on by gossip. So any instance can say
// whether a version is in force everywhere, and nobody hears from everybody.
// A floor is never too high: who was not heard from counts as behind.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/feed/messages.hpp"
#include "pollenreel/feed/watchers.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pollenreel::feed {

// Names of members behind that a floor carries.
constexpr std::size_t most_named_missing = 4;
// Floors in one message.
constexpr std::size_t most_floors = 6;
// How long a floor that changed is told first. Trades bytes against how soon
// all know it.
constexpr std::chrono::milliseconds floor_news_time{15'000};

// What is known of a version.
struct coverage {
    bool in_force = false;
    std::uint32_t behind = 0;
    // Members not known to apply it, some of them by name.
    std::vector<base::instance_id> missing;
    // Regions of which nothing is known yet.
    std::vector<base::region_id> unheard;
};

class acknowledgements {
public:
    // A member said itself what it applies; after a restart that may be less
    // than before.
    void on_applied(const base::instance_id& who, base::config_version v);
    void on_floor(const region_floor& f, base::time_point now);

    // Speaks for `region`, whose live members are `members`, `applied` being
    // the own version.
    void speak_for(const base::region_id& region,
                   const std::vector<member>& members,
                   base::config_version applied, base::time_point now);
    // Forgets members and regions that are not among `live`.
    void keep(const std::vector<member>& live);

    // Floors to pass on: that of `own`, those that changed lately, and one of
    // the others in turn.
    [[nodiscard]] std::vector<region_floor>
    floors_to_tell(const base::region_id& own, base::time_point now);
    [[nodiscard]] std::optional<base::config_version>
    floor_of(const base::region_id& region) const;
    [[nodiscard]] coverage of(base::config_version v,
                              const std::vector<member>& live) const;

private:
    struct known_floor {
        region_floor floor;
        base::time_point changed;
    };

    struct members_of_region {
        std::size_t count = 0;
        // Those that did not tell this instance that they apply the version.
        std::vector<base::instance_id> not_heard;
    };

    void add_region(coverage& c, const base::region_id& region,
                    const members_of_region& members,
                    base::config_version v) const;

    std::map<base::instance_id, base::config_version> m_applied;
    std::map<base::region_id, known_floor> m_floors;
    std::size_t m_turn = 0;
};

} // namespace pollenreel::feed
