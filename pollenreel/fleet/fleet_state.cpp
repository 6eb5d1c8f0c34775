#include "pollenreel/fleet/fleet_state.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::fleet {

namespace {

bool equal_except_cold(const target_report& a, const target_report& b) {
    return a.service == b.service && a.address == b.address &&
           a.failure_domain == b.failure_domain && a.slots == b.slots &&
           a.draining == b.draining && a.incarnation == b.incarnation;
}

} // namespace

effect fleet_state::apply(const change& c, base::time_point now) {
    return std::visit([&](const auto& one) { return apply_change(one, now); },
                      c);
}

effect fleet_state::apply_change(const target_written& c,
                                 base::time_point now) {
    auto& t = m_targets[c.report.id];
    const bool is_new = t.report.id.empty() || t.remove_at.has_value() ||
                        !equal_except_cold(t.report, c.report);
    const bool was_cold = t.cold_until > now;
    t.report = c.report;
    t.remove_at.reset();
    t.listed = true;
    t.cold_until = now + c.report.cold_for;
    const auto unknown = m_cold_unknown_until.find(c.report.failure_domain);
    if (unknown != m_cold_unknown_until.end()) {
        t.cold_until = std::max(t.cold_until, unknown->second);
    }
    return is_new || was_cold != (t.cold_until > now) ? effect::changed
                                                      : effect::refreshed;
}

effect fleet_state::apply_change(const target_removed& c,
                                 base::time_point now) {
    return remove(c.id, now);
}

effect fleet_state::remove(const base::target_id& id, base::time_point now) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return effect::none;
    }
    const auto at = deferred_removal(m_target_expiry, now);
    if (!at || found->second.report.draining) {
        m_targets.erase(found);
        return effect::changed;
    }
    if (!found->second.remove_at) {
        found->second.remove_at = at;
    }
    return effect::deferred;
}

std::optional<base::time_point>
fleet_state::deferred_removal(const expiry& of, base::time_point now) const {
    if (!is_restoring(of, now)) {
        return std::nullopt;
    }
    // The store's return is unknown while the outage lasts.
    return m_contact_lost_at ? now + m_options.restore_time
                             : of.restore_deadline;
}

effect fleet_state::apply_change(const configuration_written& c,
                                 base::time_point) {
    if (m_routes && c.configuration.version <= m_routes->source().version) {
        return c.configuration.version == m_routes->source().version
                   ? effect::none
                   : effect::stale;
    }
    m_routes = std::make_shared<const routes::route_table>(c.configuration);
    return effect::changed;
}

effect fleet_state::apply_change(const evacuation_begun& c, base::time_point) {
    m_listed_evacuations.insert(c.failure_domain);
    return m_evacuated.insert(c.failure_domain).second ? effect::changed
                                                       : effect::none;
}

effect fleet_state::apply_change(const evacuation_ended& c,
                                 base::time_point now) {
    // A relay may report the end of an evacuation without its beginning.
    m_evacuated.erase(c.failure_domain);
    const auto until = now + m_options.report_lag;
    m_cold_unknown_until[c.failure_domain] = until;
    for (auto& [id, t] : m_targets) {
        if (t.report.failure_domain == c.failure_domain) {
            t.cold_until = std::max(t.cold_until, until);
        }
    }
    return effect::changed;
}

effect fleet_state::apply_change(const instance_written& c, base::time_point) {
    m_listed_instances.insert(c.instance.id);
    auto& known = m_instances[c.instance.id];
    const bool was_expiring = known.remove_at.has_value();
    known.remove_at.reset();
    if (known.announced == c.instance && !was_expiring) {
        return effect::none;
    }
    known.announced = c.instance;
    return effect::changed;
}

effect fleet_state::apply_change(const instance_removed& c,
                                 base::time_point now) {
    const auto found = m_instances.find(c.id);
    if (found == m_instances.end()) {
        return effect::none;
    }
    const auto at = deferred_removal(m_instance_expiry, now);
    if (!at) {
        m_instances.erase(found);
        return effect::changed;
    }
    if (!found->second.remove_at) {
        found->second.remove_at = at;
    }
    return effect::deferred;
}

effect fleet_state::apply_change(const unrelated&, base::time_point) {
    return effect::none;
}

effect fleet_state::apply_change(const unreadable& c, base::time_point) {
    return m_targets.erase(c.target) > 0 ? effect::changed : effect::none;
}

void fleet_state::begin_listing() {
    m_listing = true;
    m_listed_instances.clear();
    m_listed_evacuations.clear();
    for (auto& [id, t] : m_targets) {
        t.listed = false;
    }
}

std::vector<std::pair<change, effect>>
fleet_state::end_listing(base::time_point now) {
    if (!std::exchange(m_listing, false)) {
        return {};
    }
    if (!m_first_listed_at) {
        m_first_listed_at = now;
    }
    std::vector<change> missing;
    missing.reserve(m_targets.size() + m_instances.size() + m_evacuated.size());
    for (const auto& [id, t] : m_targets) {
        if (!t.listed) {
            missing.emplace_back(target_removed{id});
        }
    }
    for (const auto& [id, i] : m_instances) {
        if (!m_listed_instances.contains(id)) {
            missing.emplace_back(instance_removed{id});
        }
    }
    for (const auto& domain : m_evacuated) {
        if (!m_listed_evacuations.contains(domain)) {
            missing.emplace_back(evacuation_ended{domain});
        }
    }
    std::vector<std::pair<change, effect>> done;
    done.reserve(missing.size());
    for (const auto& c : missing) {
        done.emplace_back(c, apply(c, now));
    }
    return done;
}

void fleet_state::on_contact(base::time_point now) {
    on_reply(now);
    m_last_contact_at = std::max(m_last_contact_at, now);
}

void fleet_state::on_reply(base::time_point now) {
    if (m_last_reply_at != base::time_point{} &&
        now - m_last_reply_at >= m_options.unnoticed_outage) {
        on_contact_lost();
    }
    for (auto* of : {&m_target_expiry, &m_instance_expiry}) {
        if (m_contact_lost_at &&
            now - *m_contact_lost_at >= of->outage_threshold) {
            of->restore_deadline = now + m_options.restore_time;
        }
    }
    m_contact_lost_at.reset();
    // A relay's report may be older than the last reply.
    m_last_reply_at = std::max(m_last_reply_at, now);
}

void fleet_state::on_contact_lost() {
    if (!m_contact_lost_at) {
        m_contact_lost_at = m_last_reply_at;
    }
}

bool fleet_state::is_restoring(base::time_point now) const {
    return is_restoring(m_target_expiry, now) ||
           is_restoring(m_instance_expiry, now);
}

bool fleet_state::is_restoring(const expiry& of, base::time_point now) const {
    return now < of.restore_deadline || is_in_outage(of, now);
}

bool fleet_state::is_in_outage(const expiry& of, base::time_point now) const {
    return m_contact_lost_at && now - *m_contact_lost_at >= of.outage_threshold;
}

bool fleet_state::is_in_outage(base::time_point now) const {
    return is_in_outage(m_target_expiry, now) ||
           is_in_outage(m_instance_expiry, now);
}

restore_times fleet_state::restoring_for(base::time_point now) const {
    const auto left = [&](const expiry& of) {
        return std::chrono::ceil<std::chrono::milliseconds>(
            std::max(of.restore_deadline - now, base::duration::zero()));
    };
    return {left(m_target_expiry), left(m_instance_expiry)};
}

void fleet_state::extend_restoring(const restore_times& t,
                                   base::time_point now) {
    const auto extend = [&](expiry& of, std::chrono::milliseconds by) {
        if (by > std::chrono::milliseconds::zero()) {
            of.restore_deadline = std::max(of.restore_deadline, now + by);
        }
    };
    extend(m_target_expiry, t.targets);
    extend(m_instance_expiry, t.instances);
}

bool fleet_state::remove_expired(base::time_point now) {
    std::erase_if(m_cold_unknown_until,
                  [&](const auto& one) { return now >= one.second; });
    const auto is_due = [&](const auto& one) {
        return one.second.remove_at && now >= *one.second.remove_at;
    };
    const auto removed =
        std::erase_if(m_targets, is_due) + std::erase_if(m_instances, is_due);
    // What was announced after the last contact is not known.
    const bool became_known =
        !m_instances_known && m_first_listed_at &&
        m_last_contact_at >= *m_first_listed_at + m_options.restore_time;
    m_instances_known = m_instances_known || became_known;
    return removed > 0 || became_known;
}

bool fleet_state::is_complete() const {
    return m_first_listed_at && m_routes != nullptr;
}

base::region_id fleet_state::region_of(const base::failure_domain_id& d) const {
    const auto found = m_regions.find(d);
    return found == m_regions.end() ? base::region_id() : found->second;
}

target fleet_state::build_target(const known_target& t) const {
    const auto& r = t.report;
    return {r.id,
            r.service,
            r.address,
            r.failure_domain,
            region_of(r.failure_domain),
            r.slots,
            r.draining,
            r.incarnation,
            t.cold_until};
}

view_ptr fleet_state::build_view() const {
    auto v = std::make_shared<view>();
    v->routes = m_routes;
    v->confirmed_at = m_last_contact_at;
    v->configuration_confirmed_at = m_configuration_confirmed_at;
    v->is_configuration_outdated = m_is_configuration_outdated;
    v->evacuated_domains.assign(m_evacuated.begin(), m_evacuated.end());
    v->targets.reserve(m_targets.size());
    for (const auto& [id, t] : m_targets) {
        if (!t.report.draining &&
            !m_evacuated.contains(t.report.failure_domain)) {
            v->targets.push_back(build_target(t));
        }
    }
    v->instances = instances();
    v->instances_known = m_instances_known;
    return v;
}

std::vector<instance> fleet_state::instances() const {
    std::vector<instance> all;
    all.reserve(m_instances.size());
    for (const auto& [id, one] : m_instances) {
        all.push_back(one.announced);
    }
    return all;
}

} // namespace pollenreel::fleet
