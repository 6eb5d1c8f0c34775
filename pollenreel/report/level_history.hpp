// Remembers how counts of good and all requests grew, finely over the last
// hour and coarsely over the last three days, in memory that does not grow
// with time: about 9 KB a series.
//
//   report::level_history h;
//   h.observe(key, cumulative, now);       // every few seconds
//   h.within(key, std::chrono::hours(1), now);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/report/service_levels.hpp"

#include <map>

namespace pollenreel::report {

class level_history {
public:
    // `cumulative` counts since the start of the instance; never falls.
    void observe(const level_key& key, const level_counts& cumulative,
                 base::time_point now);

    // What was added in the last `window`, to one slot: 15 s up to an hour,
    // 15 minutes beyond.
    [[nodiscard]] level_counts within(const level_key& key,
                                      std::chrono::seconds window,
                                      base::time_point now) const;
    // What was added in each of the last minutes or hours, newest first.
    [[nodiscard]] std::array<level_counts, minute_points>
    minutes(const level_key& key, base::time_point now) const;
    [[nodiscard]] std::array<level_counts, hour_points>
    hours(const level_key& key, base::time_point now) const;

private:
    template <std::size_t Slots>
    struct ring {
        std::array<level_counts, Slots> added{};
        std::array<std::int64_t, Slots> period{}; // that the slot belongs to

        void add(const level_counts& more, std::int64_t now_period);
        // The slots of periods in (first, last].
        [[nodiscard]] level_counts sum(std::int64_t after,
                                       std::int64_t last) const;
    };
    static constexpr std::chrono::seconds fine_slot{15};
    static constexpr std::chrono::minutes coarse_slot{15};
    struct series {
        level_counts last;
        ring<std::chrono::hours(1) / fine_slot + 1> fine;
        ring<std::chrono::hours(72) / coarse_slot + 1> coarse;
    };

    std::map<level_key, series> m_series;
};

} // namespace pollenreel::report
