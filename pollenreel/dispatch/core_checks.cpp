// How new connections to targets are checked, in dispatch::core.
#include "pollenreel/dispatch/core.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::dispatch {

using std::chrono::milliseconds;

std::string core::check_path_of(const base::service_id& id) const {
    const auto* service = m_view->routes->find(id);
    // Without a time for which targets are cold there is nothing to ask for.
    return service == nullptr || service->cold_time == milliseconds::zero()
               ? std::string()
               : service->health_path;
}

void core::choose_check(request::open_attempt& opening, const fleet::target& t,
                        const target_state& s, base::time_point now) {
    opening.check_path = check_path_of(t.service);
    if (opening.check_path.empty() || t.region == m_options.region) {
        return;
    }
    const auto query = unchecked_query_for(t);
    if (!is_doubtful(t, s, now) &&
        !s.unchecked_within(unchecked_interval(query), now) &&
        m_openings_abroad[t.service].allows(query, now, m_random.unit())) {
        opening.check_path.clear();
        return;
    }
    opening.check_peers = check_peers_for(t);
}

unchecked_query core::unchecked_query_for(const fleet::target& t) const {
    const auto& all = m_targets_by_service.at(t.service);
    const auto distant =
        std::count_if(all.begin(), all.end(), [&](const auto* other) {
            return other->region != m_options.region;
        });
    return {cold_bound_of(t),
            m_view->instances_known ? m_sending_instances.size() : 0,
            static_cast<std::size_t>(distant)};
}

bool core::is_doubtful(const fleet::target& t, const target_state& s,
                       base::time_point now) const {
    return s.failed_lately(now) || s.recently_recovered(now) ||
           s.cold_until(t.cold_until, m_options.max_report_age) > now ||
           now - m_view->confirmed_at > m_options.max_report_age;
}

void core::note_opened(const ongoing_attempt& a, base::time_point now) {
    if (!a.kind.abroad) {
        return;
    }
    m_openings_abroad[m_pending.at(a.request).service].on_opened(now);
    if (a.unchecked) {
        ++m_counters.unchecked;
        m_target_states.at(a.target).on_unchecked(now);
    }
}

std::vector<base::endpoint>
core::check_peers_for(const fleet::target& t) const {
    const auto found = m_check_peers.find(t.region);
    return found == m_check_peers.end()
               ? std::vector<base::endpoint>()
               : order_check_peers(found->second, t.id);
}

std::vector<base::endpoint> core::check_peers() const {
    std::vector<base::endpoint> all;
    for (const auto& [region, peers] : m_check_peers) {
        for (const auto& p : peers) {
            all.push_back(p.at);
        }
    }
    return all;
}

std::optional<std::string>
core::check_path_for(const request::chosen_target& target) const {
    if (!m_view || !m_view->routes) {
        return std::nullopt;
    }
    const auto known = std::lower_bound(
        m_view->targets.begin(), m_view->targets.end(), target.id,
        [](const auto& t, const auto& id) { return t.id < id; });
    if (known == m_view->targets.end() || known->id != target.id ||
        known->address != target.address) {
        return std::nullopt;
    }
    auto path = check_path_of(known->service);
    return path.empty() ? std::nullopt : std::optional(std::move(path));
}

void core::note_check(ongoing_attempt& a, const request::target_check& c,
                      base::time_point now, effects& out) {
    ++m_counters.checks;
    const auto& service_id = m_pending.at(a.request).service;
    if (c.wrong_target) {
        return note_misaddressed(a.target, service_id);
    }
    const auto* target = find_target(a);
    const auto* service = m_view->routes->find(service_id);
    if (target == nullptr || service == nullptr) {
        return;
    }
    if (!c.tells) {
        // Says nothing of the process that open connections lead to.
        a.check_refused = true;
        return;
    }
    auto& state = m_target_states.at(a.target);
    state.on_checked(c.cold_for, now);
    const auto until =
        state.cold_until(target->cold_until, m_options.max_report_age);
    if (until > now && target->cold_until <= now) {
        ++m_counters.checks_found_cold;
        out.emplace_back(target_found_cold{a.request, a.target, until - now,
                                           state.sent_last_second(now),
                                           cold_quota_at(*target, now)});
    }
}

} // namespace pollenreel::dispatch
