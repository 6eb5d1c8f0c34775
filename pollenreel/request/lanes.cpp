#include "pollenreel/request/lanes.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

// Over how long the number of running requests is averaged. Longer borrows
// and lends later.
constexpr seconds level_time = 1s;
// Weight of the newest gap between two ends.
constexpr double newest_weight = 0.1;
// Short work also uses the targets of long work once it would fill more than
// this share of its own. Higher keeps it apart for longer and queues more.
constexpr double overflow_share = 0.75;
// Long work leaves free this multiple of the slots that short work uses.
constexpr double short_margin = 2;
// A long attempt that took this multiple of the usual had to queue. Lower
// gives borrowed slots back sooner and takes uneven work for a queue.
constexpr int queued_percent = 150;

} // namespace

const std::vector<base::target_id> lanes::any;

void lanes::settle(state& s, base::time_point now) {
    const seconds passed = now - s.changed;
    const auto keep = std::exp(-passed.count() / level_time.count());
    s.level = s.running + (s.level - s.running) * keep;
    s.changed = now;
}

void lanes::started(lane l, base::time_point now) {
    auto& s = at(l);
    settle(s, now);
    ++s.running;
}

void lanes::ended(lane l, base::time_point now) {
    auto& s = at(l);
    settle(s, now);
    --s.running;
    const auto gap = std::min(seconds(now - s.last_end), seconds(level_time));
    s.end_interval += newest_weight * (gap.count() - s.end_interval);
    s.last_end = now;
}

base::duration lanes::expected_wait(lane l, std::size_t ahead) const {
    const seconds wait(at(l).end_interval * static_cast<double>(ahead));
    return std::chrono::duration_cast<base::duration>(wait);
}

bool lanes::short_has_room(const service_plan& plan,
                           std::uint32_t in_flight_percent) const {
    const auto in_all = std::uint64_t{plan.slots} * in_flight_percent / 100;
    return running(lane::of_short) < plan.part_of(in_all);
}

const std::vector<base::target_id>&
lanes::preferred_by_short(const service_plan& plan) const {
    if (plan.long_targets.empty()) {
        return any;
    }
    const auto in_all = at(lane::of_short).level * plan.sharers;
    const bool overflows = in_all > overflow_share * plan.short_slots;
    return overflows ? any : plan.short_targets;
}

std::uint32_t lanes::lendable(const service_plan& plan) const {
    const auto used = at(lane::of_short).level * plan.sharers * short_margin;
    const auto kept = static_cast<double>(plan.short_targets.size());
    const auto spare = std::max(0.0, plan.short_slots - used - kept);
    return static_cast<std::uint32_t>(spare / plan.sharers);
}

void lanes::long_answered(base::duration took, base::duration usual) {
    if (took / queued_percent > usual / 100) {
        m_borrowed = std::max(1.0, m_borrowed / 2);
    } else if (at(lane::of_long).line.size() > 0) {
        m_borrowed += 1 / m_borrowed;
    }
}

std::vector<base::target_id>
lanes::room_for_long(const service_plan& plan, const target_book& book) const {
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
    if (m_lent < lendable(plan)) {
        return plan.short_targets;
    }
    const auto here = running(lane::of_long) - m_lent;
    if (here < own + static_cast<std::uint32_t>(m_borrowed)) {
        return plan.long_targets;
    }
    return {};
}

} // namespace pollenreel::request
