// What one traffic thread knows of each target from its own attempts: how
// many are under way, how slow the answers are against what is usual for the
// kind of work, and how long the oldest unanswered attempt has waited.
// Reports of targets play no part.
//
//   book.started(attempt, target, usual, now);
//   book.answered(attempt, now);
//   if (book.hot(target, now)) { ... }
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/ids.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <vector>

namespace pollenreel::request {

class target_tracker {
public:
    // `usual` is the median latency of the kind; zero when it is not known.
    void on_started(base::attempt_id attempt, const base::target_id& target,
                    base::duration usual, base::time_point now);
    // A whole answer came.
    void on_answered(base::attempt_id attempt, base::time_point now);
    // Given up with no answer; its age so far counts if it is long.
    void on_abandoned(base::attempt_id attempt, base::time_point now);
    // The connection could not be had or broke.
    void on_failed(base::attempt_id attempt, base::time_point now);
    // The target refused the attempt for want of room.
    void on_shed(base::attempt_id attempt, base::time_point now);

    // The target is cold from `now` on: new, or back from being out.
    void begin_slow_start(const base::target_id& t, base::duration lasts,
                          base::time_point now);
    // Share of its usual work that the target is given, in (0, 1].
    [[nodiscard]] double warmup_fraction(const base::target_id& t,
                                         base::time_point now) const;

    [[nodiscard]] std::uint32_t in_flight(const base::target_id& t) const;
    // Grows by one with each attempt of this thread.
    [[nodiscard]] std::uint64_t last_used(const base::target_id& t) const;
    // Whether new work should go elsewhere.
    [[nodiscard]] bool is_hot(const base::target_id& t,
                              base::time_point now) const;
    // Hot by its answers, and due for one attempt that finds out whether it
    // still is.
    [[nodiscard]] bool is_probe_due(const base::target_id& t,
                                    base::time_point now) const;
    // False once the last attempt failed, until one that finds out more is
    // due.
    [[nodiscard]] bool is_reachable(const base::target_id& t,
                                    base::time_point now) const;
    // Mean latency as a multiple of the usual; for choosing among hot ones.
    [[nodiscard]] double latency_ratio(const base::target_id& t,
                                       base::time_point now) const;

private:
    struct tracked_attempt {
        base::attempt_id id;
        base::duration typical_latency{};
        base::time_point started_at;
    };
    struct entry {
        std::vector<tracked_attempt> attempts; // oldest first
        double mean_latency_ratio = 1;         // EWMA of latency / usual
        std::uint64_t last_used = 0;
        base::duration probe_interval{};
        base::time_point next_probe; // when hot
        base::time_point shedding_until;
        base::time_point warmup_start;
        base::duration warmup_time{};
        bool unreachable = false; // the last attempt failed
    };

    tracked_attempt remove_attempt(base::attempt_id attempt, entry*& of);
    static void add_sample(entry& e, double ratio, base::time_point now);
    [[nodiscard]] const entry* find(const base::target_id& t) const;

    boost::unordered_flat_map<base::target_id, entry> m_entries;
    boost::unordered_flat_map<base::attempt_id, base::target_id>
        m_attempt_targets;
    std::uint64_t m_last_use = 0;
};

} // namespace pollenreel::request
