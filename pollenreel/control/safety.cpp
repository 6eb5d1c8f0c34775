#include "pollenreel/control/safety.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace pollenreel::control {

namespace {

using declarations::configuration;
using declarations::document;
using declarations::service;

constexpr double hundred = 100;
// Planned loads are fractions of slots; less than this is no overload.
constexpr double tolerance = 1e-6;

// A problem, a key that tells it from others, and how bad it is.
struct problem {
    std::string key;
    double severity = 0;
    std::string text;
};

const service* find_service(const document& d, const base::service_id& id) {
    const auto found = std::find_if(d.services.begin(), d.services.end(),
                                    [&](const auto& s) { return s.id == id; });
    return found == d.services.end() ? nullptr : &*found;
}

bool has_region(const document& d, const base::region_id& id) {
    return std::any_of(d.regions.begin(), d.regions.end(),
                       [&](const auto& r) { return r.id == id; });
}

std::optional<std::uint64_t> link_capacity(const document& d,
                                           const base::region_id& a,
                                           const base::region_id& b) {
    for (const auto& l : d.links) {
        const bool joins =
            (l.first == a && l.second == b) || (l.first == b && l.second == a);
        if (joins) {
            return l.megabits_per_second;
        }
    }
    return std::nullopt;
}

std::map<base::failure_domain_id, base::region_id>
regions_of(const document& d) {
    std::map<base::failure_domain_id, base::region_id> all;
    for (const auto& r : d.regions) {
        for (const auto& domain : r.failure_domains) {
            all[domain] = r.id;
        }
    }
    return all;
}

using slots_by_region = std::map<base::region_id, std::uint64_t>;

// Slots of `s`; those of drained targets only where `with_drained`.
slots_by_region slots_of(const configuration& c, const service& s,
                         bool with_drained) {
    const auto region_of = regions_of(c.declared);
    slots_by_region slots;
    for (const auto& t : s.targets) {
        const bool drained =
            c.commanded.drained_targets.contains(t.id) ||
            c.commanded.drained_domains.contains(t.failure_domain);
        if (with_drained || !drained) {
            slots[region_of.at(t.failure_domain)] += t.slots;
        }
    }
    return slots;
}

using load_by_region = std::map<base::region_id, double>;

// What clients of each region ask for, before anything is moved.
load_by_region demand_of(const configuration& before,
                         const configuration& after, const service& s) {
    load_by_region demand;
    if (!s.planned_load.empty()) {
        for (const auto& p : s.planned_load) {
            demand[p.region] = p.busy_slots;
        }
        return demand;
    }
    const auto* known = find_service(before.declared, s.id);
    const auto slots = known == nullptr ? slots_of(after, s, true)
                                        : slots_of(before, *known, true);
    for (const auto& [region, count] : slots) {
        demand[region] =
            static_cast<double>(count) * default_planned_percent / hundred;
    }
    return demand;
}

void move_shifted(const configuration& c, const service& s,
                  load_by_region& load) {
    const auto demand = load;
    for (const auto& one : c.commanded.shifts) {
        const auto from = demand.find(one.from);
        const bool moves = one.state != declarations::shift_state::reversing &&
                           one.service == s.id && from != demand.end();
        if (moves) {
            const double moved = from->second * one.percent / hundred;
            load[one.from] -= moved;
            load[one.to] += moved;
        }
    }
}

// Spreads the load of regions without slots over what others have free; what
// fits nowhere is spread by slots.
void spread_homeless(const slots_by_region& slots, load_by_region& load) {
    double homeless = 0;
    std::erase_if(load, [&](const auto& one) {
        const auto found = slots.find(one.first);
        const bool none = found == slots.end() || found->second == 0;
        homeless += none ? one.second : 0;
        return none;
    });
    double free = 0;
    double all = 0;
    for (const auto& [region, count] : slots) {
        const auto has = static_cast<double>(count);
        all += has;
        free += std::max(0.0, has - load[region]);
    }
    for (const auto& [region, count] : slots) {
        const auto has = static_cast<double>(count);
        const auto room = std::max(0.0, has - load[region]);
        const auto fits = std::min(homeless, free);
        load[region] += free > 0 ? fits * room / free : 0;
        load[region] += all > 0 ? (homeless - fits) * has / all : 0;
    }
}

void find_overloads(const configuration& before, const configuration& after,
                    std::vector<problem>& out) {
    for (const auto& l : planned_loads(before, after)) {
        const auto slots = static_cast<double>(l.slots);
        if (l.load > slots + tolerance) {
            out.push_back(
                {fmt::format("load {} {}", l.service.str(), l.region.str()),
                 l.load - slots,
                 fmt::format("{} in {} would be planned {:.1f} busy slots of "
                             "the {} it has left",
                             l.service.str(), l.region.str(), l.load,
                             l.slots)});
        }
    }
}

void find_services_without_targets(const configuration& c,
                                   std::vector<problem>& out) {
    for (const auto& s : c.declared.services) {
        if (!s.targets.empty() && slots_of(c, s, false).empty()) {
            out.push_back({"targets " + s.id.str(), 1,
                           fmt::format("{} would have no target that takes "
                                       "new work",
                                       s.id.str())});
        }
    }
}

// Shifts that are not possible by themselves.
void find_bad_shifts(const configuration& c, std::vector<problem>& out) {
    for (const auto& s : c.commanded.shifts) {
        const auto name =
            fmt::format("shift {} of {} from {} to {}", s.id.str(),
                        s.service.str(), s.from.str(), s.to.str());
        const auto object = [&](std::string_view why) {
            out.push_back(
                {name + std::string(why), 1, fmt::format("{} {}", name, why)});
        };
        if (find_service(c.declared, s.service) == nullptr) {
            object("needs its service");
        }
        if (!has_region(c.declared, s.from) || !has_region(c.declared, s.to)) {
            object("needs both regions");
        } else if (s.from == s.to) {
            object("would move nothing: both regions are the same");
        } else if (!link_capacity(c.declared, s.from, s.to)) {
            object("has no link to move over");
        }
    }
}

void find_exceeded_links(const configuration& c, std::vector<problem>& out) {
    std::map<std::pair<base::region_id, base::region_id>, std::uint64_t> caps;
    for (const auto& s : c.commanded.shifts) {
        caps[{s.from, s.to}] += s.cap_megabits_per_second;
    }
    for (const auto& [pair, sum] : caps) {
        const auto& [from, to] = pair;
        const auto capacity = link_capacity(c.declared, from, to);
        if (capacity && sum > *capacity) {
            out.push_back(
                {fmt::format("link {} {}", from.str(), to.str()),
                 static_cast<double>(sum - *capacity),
                 fmt::format("the caps of the shifts from {} to {} would add "
                             "up to {} Mbit/s over a link of {} Mbit/s",
                             from.str(), to.str(), sum, *capacity)});
        }
    }
}

void find_exceeded_shares(const configuration& c, std::vector<problem>& out) {
    std::map<std::pair<base::service_id, base::region_id>, std::uint64_t> sums;
    for (const auto& s : c.commanded.shifts) {
        sums[{s.service, s.from}] += s.percent;
    }
    for (const auto& [from, sum] : sums) {
        if (sum > 100) {
            out.push_back(
                {fmt::format("share {} {}", from.first.str(),
                             from.second.str()),
                 static_cast<double>(sum),
                 fmt::format("the shifts of {} from {} would move {}% in all",
                             from.first.str(), from.second.str(), sum)});
        }
    }
}

void find_orphaned_limits(const configuration& c, std::vector<problem>& out) {
    for (const auto& l : c.commanded.limits) {
        if (find_service(c.declared, l.service) == nullptr ||
            !has_region(c.declared, l.region)) {
            out.push_back(
                {fmt::format("limit {} {}", l.service.str(), l.region.str()), 1,
                 fmt::format("the limit of {} in {} needs both to "
                             "be declared; take it back first",
                             l.service.str(), l.region.str())});
        }
    }
}

std::vector<problem> problems(const configuration& before,
                              const configuration& after) {
    std::vector<problem> all;
    find_overloads(before, after, all);
    find_services_without_targets(after, all);
    find_bad_shifts(after, all);
    find_exceeded_links(after, all);
    find_exceeded_shares(after, all);
    find_orphaned_limits(after, all);
    return all;
}

} // namespace

std::vector<region_load> planned_loads(const configuration& before,
                                       const configuration& after) {
    std::vector<region_load> all;
    for (const auto& s : after.declared.services) {
        const auto slots = slots_of(after, s, false);
        auto load = demand_of(before, after, s);
        move_shifted(after, s, load);
        spread_homeless(slots, load);
        for (const auto& [region, busy] : load) {
            const auto found = slots.find(region);
            all.push_back(
                {s.id, region, found == slots.end() ? 0 : found->second, busy});
        }
    }
    return all;
}

std::vector<std::string> objections(const configuration& before,
                                    const configuration& after) {
    std::map<std::string, double> known;
    for (const auto& p : problems(before, before)) {
        known[p.key] = p.severity;
    }
    std::vector<std::string> why;
    for (auto& p : problems(before, after)) {
        const auto found = known.find(p.key);
        if (found == known.end() || p.severity > found->second + tolerance) {
            why.push_back(std::move(p.text));
        }
    }
    return why;
}

} // namespace pollenreel::control
