// Virtual time: what is to happen, in the order of its time. Equal times run
// in the order in which they were added, so a run is fixed by its seed.
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace pollenreel::testing {

class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] base::time_point now() const { return m_now; }

    void at(base::time_point when, action a) {
        m_queue.push({when, m_sequence++, std::move(a)});
    }
    void after(base::duration delay, action a) {
        at(m_now + delay, std::move(a));
    }
    // Runs the next action; false when there is none up to `end`.
    bool step(base::time_point end) {
        if (m_queue.empty() || m_queue.top().when > end) {
            return false;
        }
        auto next = m_queue.top();
        m_queue.pop();
        m_now = next.when;
        next.run();
        return true;
    }

private:
    struct item {
        base::time_point when;
        std::uint64_t sequence;
        action run;

        friend bool operator<(const item& a, const item& b) {
            return std::pair(a.when, a.sequence) >
                   std::pair(b.when, b.sequence);
        }
    };

    base::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::priority_queue<item> m_queue;
};

} // namespace pollenreel::testing
