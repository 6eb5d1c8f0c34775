// State of each target as observed by one traffic thread through its own
// attempts: how many are in flight, how latencies compare with the typical
// latency of the kind of work, and how long the oldest attempt has been
// unanswered. Load reports from targets are not used.
//
//   tracker.on_started(attempt, target, typical, now);
//   tracker.on_answered(attempt, now);
//   if (tracker.is_hot(target, now)) { ... }
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace pollenreel::request {

class target_tracker {
public:
    // `typical` is the median latency of the kind of work; zero if unknown.
    void on_started(base::attempt_id attempt, const base::target_id& target,
                    base::duration typical, base::time_point now);
    // A complete response was received.
    void on_answered(base::attempt_id attempt, base::time_point now);
    // Cancelled without a response. Its age counts as a latency sample if it
    // is above the mean.
    void on_abandoned(base::attempt_id attempt, base::time_point now);
    // The connection could not be established, or it broke.
    void on_failed(base::attempt_id attempt, base::time_point now);
    // The target refused the attempt for lack of capacity.
    void on_shed(base::attempt_id attempt, base::time_point now);

    // How long the target warms up after it newly accepts work or was
    // unreachable; none unless this is called.
    void set_slow_start(const base::target_id& target, base::duration duration);
    // Starts the warm-up of a target that newly accepts work.
    void begin_slow_start(const base::target_id& target, base::time_point now);
    // Fraction of its normal work that the target receives, in (0, 1].
    [[nodiscard]] double warmup_fraction(const base::target_id& target,
                                         base::time_point now) const;

    [[nodiscard]] std::uint32_t in_flight(const base::target_id& target) const;
    // Sequence number of the target's latest attempt on this thread; 0: never
    // used.
    [[nodiscard]] std::uint64_t last_used(const base::target_id& target) const;
    // Whether new work should preferably use other targets.
    [[nodiscard]] bool is_hot(const base::target_id& target,
                              base::time_point now) const;
    // Whether the target is hot by its latencies and one attempt should now
    // test whether it still is.
    [[nodiscard]] bool is_probe_due(const base::target_id& target,
                                    base::time_point now) const;
    // False after the latest attempt failed, until a probe is due.
    [[nodiscard]] bool is_reachable(const base::target_id& target,
                                    base::time_point now) const;
    // Mean latency, or the age of the oldest attempt if larger, as a multiple
    // of the typical latency. Ranks hot targets.
    [[nodiscard]] double latency_ratio(const base::target_id& target,
                                       base::time_point now) const;

private:
    struct tracked_attempt {
        base::attempt_id id;
        base::duration typical_latency{};
        base::time_point started_at;
    };
    struct entry {
        std::vector<tracked_attempt> attempts; // oldest first
        double mean_latency_ratio = 1;         // EWMA of latency / typical
        std::uint64_t last_used = 0;
        base::duration probe_interval{};
        base::time_point next_probe; // valid while hot
        base::time_point shedding_until;
        std::optional<base::time_point> warmup_start;
        base::duration warmup_time{};
        bool unreachable = false; // the latest attempt failed
    };

    tracked_attempt remove_attempt(base::attempt_id attempt, entry*& owner);
    static void add_sample(entry& e, double ratio, base::time_point now);
    [[nodiscard]] const entry* find(const base::target_id& target) const;

    boost::unordered_flat_map<base::target_id, entry> m_entries;
    boost::unordered_flat_map<base::attempt_id, base::target_id>
        m_attempt_targets;
    std::uint64_t m_last_use = 0;
};

} // namespace pollenreel::request
