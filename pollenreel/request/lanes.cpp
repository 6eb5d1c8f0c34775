#include "pollenreel/request/lanes.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Over how long the number of running requests is averaged. Longer borrows
// and lends later.
constexpr seconds averaging_time = 1s;
// Weight of the newest gap between two ends.
constexpr double interval_weight = 0.1;
// Short work also uses the targets of long work once it would fill more than
// this share of its own. Higher keeps it apart for longer and queues more.
constexpr double short_overflow_fraction = 0.75;
// Long work leaves free this multiple of the slots that short work uses.
constexpr double short_headroom_factor = 2;
// A long attempt that took this multiple of the usual had to queue. Lower
// gives borrowed slots back sooner and takes uneven work for a queue.
constexpr int queued_latency_percent = 150;

} // namespace

const std::vector<base::target_id> lanes::no_preference;

void lanes::update_mean(state& s, base::time_point now) {
    const seconds passed = now - s.updated_at;
    const auto keep = std::exp(-passed.count() / averaging_time.count());
    s.mean_running = s.running + (s.mean_running - s.running) * keep;
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
    const auto gap =
        std::min(seconds(now - s.last_completion), seconds(averaging_time));
    s.completion_interval +=
        interval_weight * (gap.count() - s.completion_interval);
    s.last_completion = now;
}

base::duration lanes::expected_wait(lane l, std::size_t ahead) const {
    const seconds wait(state_of(l).completion_interval *
                       static_cast<double>(ahead));
    return std::chrono::duration_cast<base::duration>(wait);
}

bool lanes::has_short_capacity(const service_plan& plan,
                               std::uint32_t in_flight_percent) const {
    const auto in_all = std::uint64_t{plan.slots} * in_flight_percent / 100;
    return running(lane::short_work) < plan.share_of(in_all);
}

const std::vector<base::target_id>&
lanes::preferred_for_short(const service_plan& plan) const {
    if (plan.long_targets.empty()) {
        return no_preference;
    }
    const auto in_all =
        state_of(lane::short_work).mean_running * plan.fleet_threads;
    const bool overflows = in_all > short_overflow_fraction * plan.short_slots;
    return overflows ? no_preference : plan.short_targets;
}

std::uint32_t lanes::lendable_slots(const service_plan& plan) const {
    const auto used = state_of(lane::short_work).mean_running *
                      plan.fleet_threads * short_headroom_factor;
    const auto kept = static_cast<double>(plan.short_targets.size());
    const auto spare = std::max(0.0, plan.short_slots - used - kept);
    return static_cast<std::uint32_t>(spare / plan.fleet_threads);
}

void lanes::on_long_answered(base::duration took, base::duration usual) {
    if (took / queued_latency_percent > usual / 100) {
        m_borrow_limit = std::max(1.0, m_borrow_limit / 2);
    } else if (state_of(lane::long_work).queue.size() > 0) {
        m_borrow_limit += 1 / m_borrow_limit;
    }
}

std::vector<base::target_id>
lanes::available_for_long(const service_plan& plan,
                          const target_tracker& book) const {
    if (plan.long_targets.empty()) {
        return plan.short_targets;
    }
    std::vector<base::target_id> free;
    std::uint32_t own = 0;
    for (const auto& [target, slots] : plan.own_long_slots) {
        own += slots;
        if (book.in_flight(target) < slots) {
            free.push_back(target);
        }
    }
    if (!free.empty()) {
        return free;
    }
    if (m_lent_slots < lendable_slots(plan)) {
        return plan.short_targets;
    }
    const auto here = running(lane::long_work) - m_lent_slots;
    if (here < own + static_cast<std::uint32_t>(m_borrow_limit)) {
        return plan.long_targets;
    }
    return {};
}

} // namespace pollenreel::request
