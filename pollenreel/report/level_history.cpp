#include "pollenreel/report/level_history.hpp"

namespace pollenreel::report {

namespace {

// Periods count from one, so that an untouched slot belongs to none.
template <class Slot>
std::int64_t period_of(base::time_point now, Slot slot) {
    return now.time_since_epoch() / slot + 1;
}

} // namespace

template <std::size_t Slots>
void level_history::ring<Slots>::add(const level_counts& more,
                                     std::int64_t now_period) {
    const auto slot = static_cast<std::size_t>(now_period) % Slots;
    if (period.at(slot) != now_period) {
        period.at(slot) = now_period;
        added.at(slot) = {};
    }
    added.at(slot).add(more);
}

template <std::size_t Slots>
level_counts level_history::ring<Slots>::sum(std::int64_t after,
                                             std::int64_t last) const {
    level_counts all;
    for (std::size_t i = 0; i < Slots; ++i) {
        if (period.at(i) > after && period.at(i) <= last) {
            all.add(added.at(i));
        }
    }
    return all;
}

void level_history::observe(const level_key& key,
                            const level_counts& cumulative,
                            base::time_point now) {
    auto& s = m_series[key];
    const level_counts more{cumulative.good - s.last.good,
                            cumulative.total - s.last.total};
    s.last = cumulative;
    s.fine.add(more, period_of(now, fine_slot));
    s.coarse.add(more, period_of(now, coarse_slot));
}

level_counts level_history::within(const level_key& key,
                                   std::chrono::seconds window,
                                   base::time_point now) const {
    const auto found = m_series.find(key);
    if (found == m_series.end()) {
        return {};
    }
    if (window <= std::chrono::hours(1)) {
        const auto last = period_of(now, fine_slot);
        return found->second.fine.sum(last - window / fine_slot, last);
    }
    const auto last = period_of(now, coarse_slot);
    return found->second.coarse.sum(last - window / coarse_slot, last);
}

std::array<level_counts, minute_points>
level_history::minutes(const level_key& key, base::time_point now) const {
    std::array<level_counts, minute_points> all{};
    const auto found = m_series.find(key);
    if (found == m_series.end()) {
        return all;
    }
    constexpr std::int64_t slots = std::chrono::minutes(1) / fine_slot;
    auto last = period_of(now, fine_slot);
    for (auto& one : all) {
        one = found->second.fine.sum(last - slots, last);
        last -= slots;
    }
    return all;
}

std::array<level_counts, hour_points>
level_history::hours(const level_key& key, base::time_point now) const {
    std::array<level_counts, hour_points> all{};
    const auto found = m_series.find(key);
    if (found == m_series.end()) {
        return all;
    }
    constexpr std::int64_t slots = std::chrono::hours(1) / coarse_slot;
    auto last = period_of(now, coarse_slot);
    for (auto& one : all) {
        one = found->second.coarse.sum(last - slots, last);
        last -= slots;
    }
    return all;
}

} // namespace pollenreel::report
