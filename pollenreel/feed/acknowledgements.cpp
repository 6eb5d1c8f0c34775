#include "pollenreel/feed/acknowledgements.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace pollenreel::feed {

namespace {

// Two instances may for a moment both speak for a region: neither's floor
// replaces the other's unless it is newer, or says less at the same stamp.
bool replaces(const region_floor& made, const region_floor& known) {
    return made.stamp > known.stamp ||
           (made.stamp == known.stamp && made.version < known.version);
}

void add_names(coverage& c, const std::vector<base::instance_id>& names) {
    const auto some = std::min(names.size(), most_named_missing);
    c.missing.insert(c.missing.end(), names.begin(),
                     names.begin() + static_cast<std::ptrdiff_t>(some));
}

} // namespace

void acknowledgements::on_applied(const base::instance_id& who,
                                  base::config_version v) {
    m_applied[who] = v;
}

void acknowledgements::on_floor(const region_floor& f, base::time_point now) {
    const auto known = m_floors.find(f.region);
    if (known == m_floors.end() || replaces(f, known->second.floor)) {
        m_floors[f.region] = {f, now};
    }
}

void acknowledgements::speak_for(const base::region_id& region,
                                 const std::vector<member>& members,
                                 base::config_version applied,
                                 base::time_point now) {
    auto& known = m_floors[region];
    region_floor made{region, applied, 0, 0, {}, known.floor.stamp};
    for (const auto& m : members) {
        ++made.members;
        const auto found = m_applied.find(m.instance);
        const auto v =
            found == m_applied.end() ? base::config_version() : found->second;
        made.version = std::min(made.version, v);
        if (v < applied) {
            ++made.behind;
            if (made.missing.size() < most_named_missing) {
                made.missing.push_back(m.instance);
            }
        }
    }
    if (made != known.floor) {
        ++made.stamp;
        known = {made, now};
    }
}

void acknowledgements::keep(const std::vector<member>& live) {
    std::set<base::instance_id> instances;
    std::set<base::region_id> regions;
    for (const auto& m : live) {
        instances.insert(m.instance);
        regions.insert(m.region);
    }
    std::erase_if(m_applied, [&](const auto& one) {
        return !instances.contains(one.first);
    });
    std::erase_if(m_floors, [&](const auto& one) {
        return !regions.contains(one.first);
    });
}

std::vector<region_floor>
acknowledgements::floors_to_tell(const base::region_id& own,
                                 base::time_point now) {
    std::vector<const known_floor*> news;
    std::vector<const known_floor*> old;
    for (const auto& [region, f] : m_floors) {
        const bool first = region == own || now - f.changed < floor_news_time;
        (first ? news : old).push_back(&f);
    }
    std::sort(news.begin(), news.end(), [&](const auto* a, const auto* b) {
        const bool own_a = a->floor.region == own;
        const bool own_b = b->floor.region == own;
        return std::tie(own_a, a->changed) > std::tie(own_b, b->changed);
    });
    news.resize(std::min(news.size(), most_floors));
    if (!old.empty()) {
        news.push_back(old[m_turn++ % old.size()]);
    }
    std::vector<region_floor> told;
    told.reserve(news.size());
    for (const auto* f : news) {
        told.push_back(f->floor);
    }
    return told;
}

std::optional<base::config_version>
acknowledgements::floor_of(const base::region_id& region) const {
    const auto found = m_floors.find(region);
    if (found == m_floors.end()) {
        return std::nullopt;
    }
    return found->second.floor.version;
}

coverage acknowledgements::of(base::config_version v,
                              const std::vector<member>& live) const {
    coverage c;
    std::map<base::region_id, members_of_region> regions;
    for (const auto& m : live) {
        auto& region = regions[m.region];
        ++region.count;
        const auto known = m_applied.find(m.instance);
        if (known == m_applied.end() || known->second < v) {
            region.not_heard.push_back(m.instance);
        }
    }
    for (const auto& [region, members] : regions) {
        add_region(c, region, members, v);
    }
    c.in_force = c.behind == 0 && c.unheard.empty();
    return c;
}

void acknowledgements::add_region(coverage& c, const base::region_id& region,
                                  const members_of_region& members,
                                  base::config_version v) const {
    if (members.not_heard.empty()) {
        return;
    }
    const auto known = m_floors.find(region);
    if (known == m_floors.end()) {
        c.unheard.push_back(region);
        return;
    }
    const auto& floor = known->second.floor;
    if (floor.members < members.count) { // made when fewer were live
        c.behind += static_cast<std::uint32_t>(members.not_heard.size());
        add_names(c, members.not_heard);
    } else if (floor.version < v) {
        c.behind += std::max<std::uint32_t>(floor.behind, 1);
        add_names(c, floor.missing);
    }
}

} // namespace pollenreel::feed
