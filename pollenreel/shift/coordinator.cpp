#include "pollenreel/shift/coordinator.hpp"

#include "pollenreel/share/terms.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

using share::ppm;

// Latest reports of this entry that a received summary may include.
constexpr std::size_t remembered_reports = 3;

std::string lease_key(const coordinator_options& o) {
    return o.key_prefix + "/shares/" + o.region.str();
}

bool is_due(std::optional<base::time_point>& last, base::duration period,
            base::time_point now) {
    if (last && now - *last < period) {
        return false;
    }
    last = now;
    return true;
}

} // namespace

coordinator::coordinator(coordinator_options o)
    : m_options(std::move(o)), m_holder(m_options.region, lease_key(m_options),
                                        m_options.self, share::leased_pool),
      m_claimant(m_options.self, m_options.address, ppm{}) {}

void coordinator::set_configuration(const declarations::configuration& c) {
    m_configuration = c;
    m_claimant.set_floor(share::floor_share(c.declared.fleet_instances));
    update_demand();
}

void coordinator::set_members(std::vector<member> live) {
    std::sort(live.begin(), live.end(), [](const auto& a, const auto& b) {
        return a.instance < b.instance;
    });
    m_members = std::move(live);
}

void coordinator::leave() {
    m_leaving = true;
    update_demand();
    m_holder.release();
}

void coordinator::update_demand() {
    const auto amount = m_leaving ? ppm{} : share::whole;
    for (const auto& l : m_configuration.declared.links) {
        const auto& own = m_options.region;
        if (l.first == own || l.second == own) {
            const auto& other = l.first == own ? l.second : l.first;
            m_claimant.set_demand(share::region_pair(own, other), amount);
        }
    }
    for (const auto& l : m_configuration.commanded.limits) {
        m_claimant.set_demand(share::service_limit(l.service, l.region),
                              amount);
    }
}

void coordinator::on_traffic(const traffic_report& r) {
    for (const auto& [p, use] : r) {
        auto& own = m_local_uses[p];
        own.slots_sum += use.slots;
        ++own.samples;
        own.started += use.started;
        own.held_back += use.held_back;
    }
}

effects coordinator::tick(base::time_point now) {
    effects out;
    advance_shifts(now);
    if (auto call = m_holder.tick(now, is_collector())) {
        out.emplace_back(std::move(*call));
    }
    request_shares(now, out);
    if (is_due(m_last_report, report_period, now)) {
        report_load(now, out);
        distribute_summaries(now, out);
    }
    publish(now, out);
    return out;
}

void coordinator::on_reply(const store::reply& r, base::time_point now) {
    m_holder.on_reply(r, now);
}

effects coordinator::on_message(const message& m, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, m);
    return out;
}

void coordinator::on(const share::request& m, base::time_point now,
                     effects& out) {
    if (auto g = m_holder.on_request(m, now)) {
        out.emplace_back(send{m.reply_to, std::move(*g)});
    }
}

void coordinator::on(const share::grant& m, base::time_point now,
                     effects& out) {
    m_claimant.on_grant(m, now);
    if (m.owner == m_options.region && m.claimant == m_options.self) {
        m_progress = m.progress;
        m_last_grant = now;
    }
    publish(now, out);
}

void coordinator::on(const load_report& m, base::time_point now, effects&) {
    m_loads.on_report(m, now);
}

void coordinator::on(const load_summary& m, base::time_point now, effects&) {
    m_loads.on_summary(m, now);
    update_headroom(now);
}

std::vector<member>
coordinator::collectors_of(const base::region_id& region) const {
    std::vector<member> found;
    for (const auto& m : m_members) {
        if (m.region == region && found.size() < collectors_per_region) {
            found.push_back(m);
        }
    }
    return found;
}

bool coordinator::is_collector() const {
    const auto all = collectors_of(m_options.region);
    return std::any_of(all.begin(), all.end(), [&](const auto& m) {
        return m.instance == m_options.self.instance;
    });
}

void coordinator::request_shares(base::time_point now, effects& out) {
    for (const auto& owner : m_claimant.owners()) {
        const auto to = collectors_of(owner);
        auto ask =
            to.empty() ? std::nullopt : m_claimant.next_request(owner, now);
        if (!ask) {
            continue;
        }
        // Any collector may hold the lease; only the holder answers.
        for (const auto& m : to) {
            out.emplace_back(send{m.address, *ask});
        }
    }
}

void coordinator::report_load(base::time_point, effects& out) {
    load_report r{m_options.self.instance, {}};
    for (auto& [p, own] : m_local_uses) {
        const double mean = own.samples == 0 ? 0 : own.slots_sum / own.samples;
        r.at[p] = {mean, own.started, own.held_back};
        own.reported.push_back(mean);
        if (own.reported.size() > remembered_reports) {
            own.reported.pop_front();
        }
        own.slots_sum = 0;
        own.samples = 0;
        own.started = 0;
        own.held_back = 0;
    }
    for (const auto& m : collectors_of(m_options.region)) {
        out.emplace_back(send{m.address, r});
    }
}

void coordinator::distribute_summaries(base::time_point now, effects& out) {
    const auto collectors = collectors_of(m_options.region);
    if (collectors.empty() ||
        collectors.front().instance != m_options.self.instance) {
        return;
    }
    const auto own = m_loads.summary(m_options.region, now);
    std::set<base::region_id> others;
    for (const auto& m : m_members) {
        if (m.region == m_options.region) {
            out.emplace_back(send{m.address, own});
        } else {
            others.insert(m.region);
        }
    }
    for (const auto& region : others) {
        for (const auto& m : collectors_of(region)) {
            out.emplace_back(send{m.address, own});
        }
    }
    // Forwards summaries of other regions to this region's other entries.
    for (const auto& summary : m_loads.received_within(report_period, now)) {
        if (summary.region == m_options.region) {
            continue;
        }
        for (const auto& m : m_members) {
            const bool is_self = m.instance == m_options.self.instance;
            if (m.region == m_options.region && !is_self) {
                out.emplace_back(send{m.address, summary});
            }
        }
    }
}

double coordinator::usable_slots(const place& p) const {
    const auto& commanded = m_configuration.commanded;
    std::set<base::failure_domain_id> domains;
    for (const auto& r : m_configuration.declared.regions) {
        if (r.id == p.second) {
            domains.insert(r.failure_domains.begin(), r.failure_domains.end());
        }
    }
    double sum = 0;
    for (const auto& s : m_configuration.declared.services) {
        for (const auto& t : s.targets) {
            const bool usable =
                s.id == p.first && domains.contains(t.failure_domain) &&
                !commanded.drained_targets.contains(t.id) &&
                !commanded.drained_domains.contains(t.failure_domain);
            sum += usable ? t.slots : 0;
        }
    }
    return sum;
}

void coordinator::update_headroom(base::time_point now) {
    const auto own = m_loads.entries_of(m_options.region);
    for (const auto& s : m_configuration.declared.services) {
        for (const auto& r : m_configuration.declared.regions) {
            const place p{s.id, r.id};
            // The load of a place is unknown without its own region's summary.
            if (r.id == m_options.region || !m_loads.age(r.id, now)) {
                continue;
            }
            const auto& reported = m_local_uses[p].reported;
            const double mine =
                reported.empty()
                    ? 0
                    : *std::min_element(reported.begin(), reported.end());
            // Another region may be failing as well without being visible yet.
            const auto failing_regions =
                1 + std::max(1U, m_loads.other_regions_at(p, m_options.region));
            m_headroom[p].on_report({usable_slots(p), m_loads.used(p), mine,
                                     std::max(1U, own) * failing_regions},
                                    now);
        }
    }
}

} // namespace pollenreel::shift
