#include "testing/request/fake_targets.hpp"

#include <algorithm>

namespace pollenreel::testing {

fake_targets::fake_targets(event_queue& queue, fake_target_options options)
    : m_queue(queue), m_options(std::move(options)),
      m_targets(m_options.targets) {}

bool fake_targets::has_free_slot(std::size_t target) const {
    return m_targets[target].running.size() < m_options.slots;
}

double fake_targets::factor(std::size_t target) const {
    double slowest = 1;
    for (const auto& p : m_options.slow_phases) {
        const bool now = p.from <= m_queue.now() && m_queue.now() < p.to;
        if (p.target == target && now) {
            slowest = std::max(slowest, p.factor);
        }
    }
    return slowest;
}

void fake_targets::start(std::size_t target, work_id id, base::duration length,
                         on_result done) {
    auto& t = m_targets[target];
    if (has_free_slot(target)) {
        return run(target, {id, length, std::move(done), {}});
    }
    if (t.waiting.size() >= m_options.queue_length) {
        return done(result::shed);
    }
    t.waiting.push_back({id, length, std::move(done), {}});
}

void fake_targets::run(std::size_t target, work w) {
    const auto id = w.id;
    const auto takes =
        std::chrono::duration_cast<base::duration>(w.length * factor(target));
    w.started = m_queue.now();
    m_targets[target].running.emplace(id, std::move(w));
    m_queue.after(takes, [this, target, id] { finish(target, id); });
}

void fake_targets::finish(std::size_t target, work_id id) {
    auto& running = m_targets[target].running;
    const auto found = running.find(id);
    if (found == running.end()) {
        return; // cancelled meanwhile
    }
    m_busy_time += m_queue.now() - found->second.started;
    auto done = std::move(found->second.done);
    running.erase(found);
    start_next(target);
    done(result::served);
}

void fake_targets::start_next(std::size_t target) {
    auto& waiting = m_targets[target].waiting;
    if (!waiting.empty()) {
        auto next = std::move(waiting.front());
        waiting.pop_front();
        run(target, std::move(next));
    }
}

void fake_targets::cancel(std::size_t target, work_id id) {
    auto& t = m_targets[target];
    if (const auto found = t.running.find(id); found != t.running.end()) {
        m_busy_time += m_queue.now() - found->second.started;
        t.running.erase(found);
        return start_next(target);
    }
    std::erase_if(t.waiting, [&](const work& w) { return w.id == id; });
}

} // namespace pollenreel::testing
