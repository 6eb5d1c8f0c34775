// The sum of amounts added within a sliding window, rounded up to whole steps
// of a hundredth of the window. Uses constant memory.
//
//   shift::sliding_sum sent(100ms);
//   sent.add(1500, now);
//   if (sent.sum(now) + size <= limit) ...
#pragma once

#include "pollenreel/base/clock.hpp"

#include <cstdint>
#include <deque>

namespace pollenreel::shift {

class sliding_sum {
public:
    explicit sliding_sum(base::duration window)
        : m_window(window), m_step(window / 100) {}

    void add(std::uint64_t amount, base::time_point now) {
        remove_expired(now);
        if (m_entries.empty() || now - m_entries.back().first >= m_step) {
            m_entries.push_back({now, {now, 0}});
        }
        auto& last = m_entries.back().second;
        last.latest = now;
        last.amount += amount;
        m_sum += amount;
    }
    // Returns the sum of amounts added in (now - window, now].
    [[nodiscard]] std::uint64_t sum(base::time_point now) {
        remove_expired(now);
        return m_sum;
    }
    // Returns when the oldest amount leaves the sum, or `now` if it is empty.
    [[nodiscard]] base::time_point next_release(base::time_point now) {
        remove_expired(now);
        return m_entries.empty() ? now
                                 : m_entries.front().second.latest + m_window;
    }
    // Takes effect from the next call on.
    void set_window(base::duration window) { m_window = window; }

private:
    struct entry {
        base::time_point latest;
        std::uint64_t amount = 0;
    };

    void remove_expired(base::time_point now) {
        while (!m_entries.empty() &&
               now - m_entries.front().second.latest >= m_window) {
            m_sum -= m_entries.front().second.amount;
            m_entries.pop_front();
        }
    }

    base::duration m_window;
    base::duration m_step;
    std::deque<std::pair<base::time_point, entry>> m_entries;
    std::uint64_t m_sum = 0;
};

} // namespace pollenreel::shift
