// Fake targets at the decision interface: slots, a queue that sheds when it
// is full, phases in which all work takes longer, and cancellation.
#pragma once

#include "testing/request/event_queue.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace pollenreel::testing {

// From `from` to `to`, work that starts on `target` takes `factor` as long.
struct slow_phase {
    std::size_t target = 0;
    base::time_point from;
    base::time_point to;
    double factor = 1;
};

struct fake_target_options {
    std::size_t targets = 14;
    std::size_t slots = 7;
    std::size_t queue_length = 64;
    std::vector<slow_phase> slow_phases;
};

class fake_targets {
public:
    // Numbers a piece of work over the whole run.
    using work_id = std::uint64_t;
    enum class result { served, shed };
    using on_result = std::function<void(result)>;

    fake_targets(event_queue& queue, fake_target_options options);

    void start(std::size_t target, work_id id, base::duration work,
               on_result done);
    // Frees the slot or the place in the queue.
    void cancel(std::size_t target, work_id id);

    [[nodiscard]] bool has_free_slot(std::size_t target) const;
    [[nodiscard]] double factor(std::size_t target) const;
    // Slot time spent, cancelled work included.
    [[nodiscard]] base::duration busy_time() const { return m_busy_time; }

private:
    struct work {
        work_id id = 0;
        base::duration length{};
        on_result done;
        base::time_point started;
    };
    struct one {
        std::unordered_map<work_id, work> running;
        std::deque<work> waiting;
    };

    void run(std::size_t target, work w);
    void finish(std::size_t target, work_id id);
    void start_next(std::size_t target);

    event_queue& m_queue;
    fake_target_options m_options;
    std::vector<one> m_targets;
    base::duration m_busy_time{};
};

} // namespace pollenreel::testing
