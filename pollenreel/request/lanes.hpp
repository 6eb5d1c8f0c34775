// Who of the requests of one service runs and who waits. Short and long work
// have a lane each: a line at the entry and room at the targets. Short work
// has room until this thread's part of the fleet's in-flight limit is used;
// long work has the slots that the plan deals to this thread, and borrows
// more where that hurts nobody.
//
//   lanes l;
//   if (l.try_start(lane::of_short, plan, limits, now)) { ... }
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

    // Whether one more request of short work may start.
    [[nodiscard]] bool
    has_short_capacity(const service_plan& plan,
                       std::uint32_t in_flight_percent) const;
    // Targets that one more request of long work may start at; empty when it
    // has to wait. In this order: own slots; slots that short work leaves
    // idle; slots of the long targets that others leave idle.
    [[nodiscard]] std::vector<base::target_id>
    available_for_long(const service_plan& plan,
                       const target_tracker& book) const;
    // Targets that short work should go to now.
    [[nodiscard]] const std::vector<base::target_id>&
    preferred_for_short(const service_plan& plan) const;

    void on_started(lane l, base::time_point now);
    void on_ended(lane l, base::time_point now);
    // Long work was placed on, and left, a target of short work.
    void on_slot_lent() { ++m_lent_slots; }
    void on_slot_returned() { --m_lent_slots; }
    // A long attempt was answered. One that took much longer than usual had
    // to queue: less is borrowed then (additive increase, multiplicative
    // decrease).
    void on_long_answered(base::duration took, base::duration usual);
    // How long a newcomer with `ahead` others before it will wait.
    [[nodiscard]] base::duration expected_wait(lane l, std::size_t ahead) const;

private:
    struct state {
        request_queue queue;
        std::uint32_t running = 0;
        double mean_running = 0;        // running, averaged over time
        double completion_interval = 0; // seconds between ends, averaged
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
    double m_borrow_limit = 1; // slots beyond the own ones
    static const std::vector<base::target_id> no_preference;
};

} // namespace pollenreel::request
