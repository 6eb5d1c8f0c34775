#include "pollenreel/shift/load_book.hpp"

namespace pollenreel::shift {

void load_book::on_report(const load_report& r, base::time_point now) {
    m_reports[r.instance] = {r, now};
}

void load_book::on_summary(const load_summary& s, base::time_point now) {
    m_summaries[s.region] = {s, now};
}

load_summary load_book::summary(const base::region_id& region,
                                base::time_point now) const {
    load_summary sum{region, 0, {}};
    for (const auto& [instance, r] : m_reports) {
        if (now - r.at > report_lifetime) {
            continue;
        }
        ++sum.entries;
        for (const auto& [p, use] : r.value.at) {
            auto& to = sum.at[p];
            to.slots += use.slots;
            to.started += use.started;
            to.held_back += use.held_back;
        }
    }
    return sum;
}

double load_book::used(const place& p, const base::region_id& excluded) const {
    double sum = 0;
    for (const auto& [region, s] : m_summaries) {
        const auto found = s.value.at.find(p);
        if (region != excluded && found != s.value.at.end()) {
            sum += found->second.slots;
        }
    }
    return sum;
}

place_use load_book::use_of(const base::region_id& region,
                            const place& p) const {
    const auto s = m_summaries.find(region);
    if (s == m_summaries.end()) {
        return {};
    }
    const auto found = s->second.value.at.find(p);
    return found == s->second.value.at.end() ? place_use{} : found->second;
}

std::uint32_t load_book::entries_of(const base::region_id& region) const {
    const auto s = m_summaries.find(region);
    return s == m_summaries.end() ? 0 : s->second.value.entries;
}

std::vector<load_summary>
load_book::received_within(base::duration d, base::time_point now) const {
    std::vector<load_summary> all;
    for (const auto& [region, s] : m_summaries) {
        if (now - s.at <= d) {
            all.push_back(s.value);
        }
    }
    return all;
}

std::optional<base::duration> load_book::age(const base::region_id& region,
                                             base::time_point now) const {
    const auto s = m_summaries.find(region);
    if (s == m_summaries.end()) {
        return std::nullopt;
    }
    return now - s->second.at;
}

std::uint32_t
load_book::other_regions_at(const place& p,
                            const base::region_id& excluded) const {
    std::uint32_t n = 0;
    for (const auto& [region, s] : m_summaries) {
        const bool counted = region != p.second && region != excluded;
        n += counted && s.value.at.contains(p) ? 1 : 0;
    }
    return n;
}

} // namespace pollenreel::shift
