#include "pollenreel/request/lanes.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Time constant of the moving average of running requests. A longer one delays
// both borrowing and lending.
constexpr seconds averaging_time = 1s;
// Weight of the latest interval between two completions.
constexpr double interval_weight = 0.1;
// Short work also uses the targets for long work once it would fill more than
// this fraction of its own. A higher fraction separates them longer and queues
// more.
constexpr double short_overflow_fraction = 0.75;
// Long work leaves this multiple of the slots that short work uses to it.
constexpr double short_headroom_factor = 2;
// A long attempt that took this percentage of the typical latency is assumed to
// have been queued. A lower one returns borrowed slots sooner, and mistakes
// variation in the work for queueing.
constexpr int queued_latency_percent = 150;

} // namespace

const std::vector<base::target_id> lanes::no_preference;

void lanes::update_mean(state& s, base::time_point now) {
    const seconds elapsed = now - s.updated_at;
    const auto decay = std::exp(-elapsed.count() / averaging_time.count());
    s.mean_running = s.running + (s.mean_running - s.running) * decay;
    s.updated_at = now;
}

void lanes::on_started(lane l, base::time_point now) {
    auto& s = state_of(l);
    update_mean(s, now);
    ++s.running;
}

void lanes::on_ended(lane l, base::time_point now) {
    auto& s = state_of(l);
    update_mean(s, now);
    --s.running;
    const auto interval =
        std::min(seconds(now - s.last_completion), seconds(averaging_time));
    s.completion_interval +=
        interval_weight * (interval.count() - s.completion_interval);
    s.last_completion = now;
}

base::duration lanes::expected_wait(lane l, std::size_t ahead) const {
    const seconds wait(state_of(l).completion_interval *
                       static_cast<double>(ahead));
    return std::chrono::duration_cast<base::duration>(wait);
}

bool lanes::has_short_capacity(const service_plan& plan,
                               std::uint32_t in_flight_percent) const {
    const auto fleet_limit =
        std::uint64_t{plan.slots} * in_flight_percent / 100;
    return running(lane::short_work) < plan.share_of(fleet_limit);
}

const std::vector<base::target_id>&
lanes::preferred_for_short(const service_plan& plan) const {
    if (plan.long_targets.empty()) {
        return no_preference;
    }
    const auto fleet_running =
        state_of(lane::short_work).mean_running * plan.fleet_threads;
    const bool overflows =
        fleet_running > short_overflow_fraction * plan.short_slots;
    return overflows ? no_preference : plan.short_targets;
}

std::uint32_t lanes::lendable_slots(const service_plan& plan) const {
    const auto used = state_of(lane::short_work).mean_running *
                      plan.fleet_threads * short_headroom_factor;
    const auto reserved = static_cast<double>(plan.short_targets.size());
    const auto spare = std::max(0.0, plan.short_slots - used - reserved);
    return static_cast<std::uint32_t>(spare / plan.fleet_threads);
}

void lanes::on_long_answered(base::duration latency, base::duration typical) {
    if (latency / queued_latency_percent > typical / 100) {
        m_borrow_limit = std::max(1.0, m_borrow_limit / 2);
    } else if (state_of(lane::long_work).queue.size() > 0) {
        m_borrow_limit += 1 / m_borrow_limit;
    }
}

std::vector<base::target_id>
lanes::available_for_long(const service_plan& plan,
                          const target_tracker& tracker) const {
    if (plan.long_targets.empty()) {
        return plan.short_targets;
    }
    std::vector<base::target_id> available;
    std::uint32_t own_slots = 0;
    for (const auto& [target, slots] : plan.own_long_slots) {
        own_slots += slots;
        if (tracker.in_flight(target) < slots) {
            available.push_back(target);
        }
    }
    if (!available.empty()) {
        return available;
    }
    if (m_lent_slots < lendable_slots(plan)) {
        return plan.short_targets;
    }
    const auto on_long_targets = running(lane::long_work) - m_lent_slots;
    if (on_long_targets <
        own_slots + static_cast<std::uint32_t>(m_borrow_limit)) {
        return plan.long_targets;
    }
    return {};
}

} // namespace pollenreel::request
