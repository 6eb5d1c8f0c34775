// Concurrency limits and queues for the requests of one service. Short and long
// work each have a lane: a queue at the entry and a limit on running requests.
// Short work may use this thread's share of the fleet's in-flight limit. Long
// work may use the slots that the plan assigns to this thread, and borrows more
// while that delays nobody.
//
//   lanes l;
//   if (l.has_short_capacity(plan, in_flight_percent)) {
//       l.on_started(lane::short_work, now);
//   }
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/request/request_queue.hpp"
#include "pollenreel/request/service_plan.hpp"
#include "pollenreel/request/target_tracker.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace pollenreel::request {

enum class lane { short_work, long_work };

class lanes {
public:
    [[nodiscard]] request_queue& queue(lane l) { return state_of(l).queue; }
    [[nodiscard]] std::uint32_t running(lane l) const {
        return state_of(l).running;
    }

    // Whether one more short request may start.
    [[nodiscard]] bool
    has_short_capacity(const service_plan& plan,
                       std::uint32_t in_flight_percent) const;
    // Targets on which one more long request may start; empty if it has to
    // wait. In order of preference: this thread's own slots, slots that short
    // work leaves idle, slots of the long targets that others leave idle.
    [[nodiscard]] std::vector<base::target_id>
    available_for_long(const service_plan& plan,
                       const target_tracker& tracker) const;
    // Targets that short work should prefer; empty if there is no preference.
    [[nodiscard]] const std::vector<base::target_id>&
    preferred_for_short(const service_plan& plan) const;

    void on_started(lane l, base::time_point now);
    void on_ended(lane l, base::time_point now);
    // A long request took, or gave back, a slot on a target for short work.
    void on_slot_lent() { ++m_lent_slots; }
    void on_slot_returned() { --m_lent_slots; }
    // A long attempt was answered. A latency well above the typical one means
    // that it was queued at the target, which lowers the number of borrowed
    // slots (additive increase, multiplicative decrease).
    void on_long_answered(base::duration latency, base::duration typical);
    // Expected queueing time of a new request behind `ahead` others.
    [[nodiscard]] base::duration expected_wait(lane l, std::size_t ahead) const;

private:
    struct state {
        request_queue queue;
        std::uint32_t running = 0;
        double mean_running = 0;        // exponential moving average
        double completion_interval = 0; // seconds, moving average
        base::time_point updated_at;
        base::time_point last_completion;
    };

    [[nodiscard]] state& state_of(lane l) {
        return m_states[static_cast<std::size_t>(l)];
    }
    [[nodiscard]] const state& state_of(lane l) const {
        return m_states[static_cast<std::size_t>(l)];
    }
    static void update_mean(state& s, base::time_point now);

    [[nodiscard]] std::uint32_t lendable_slots(const service_plan& plan) const;

    std::array<state, 2> m_states;
    std::uint32_t m_lent_slots = 0;
    double m_borrow_limit = 1; // slots usable beyond own ones
    static const std::vector<base::target_id> no_preference;
};

} // namespace pollenreel::request
