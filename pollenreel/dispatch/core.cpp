#include "pollenreel/dispatch/core.hpp"

#include "pollenreel/dispatch/admission.hpp"
#include "pollenreel/dispatch/cold_rate.hpp"
#include "pollenreel/dispatch/internal/retry_soon.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using internal::retry_soon;
using request::outcome;
using request::reason;
using request::refusal;
using std::chrono::milliseconds;

// Requests whose callers tell no deadline.
constexpr milliseconds longest_wait{60'000};
// The other side has to cost less than this part of the assigned one.
constexpr double worth_crossing = 0.8;

constexpr refusal not_run(reason r) {
    return {outcome::not_run, r};
}

} // namespace

std::string_view to_string(attempt_cause c) {
    switch (c) {
    case attempt_cause::first:
        return "first";
    case attempt_cause::repeat:
        return "repeat";
    case attempt_cause::hedge:
        break;
    }
    return "hedge";
}

core::core(options o) : m_options(std::move(o)), m_random(m_options.seed) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, e);
    return out;
}

std::optional<base::time_point> core::next_wakeup() const {
    if (m_timers.empty()) {
        return std::nullopt;
    }
    return std::get<base::time_point>(*m_timers.begin());
}

void core::on(const view_changed& e, base::time_point, effects&) {
    m_view = e.view;
    m_by_service.clear();
    std::set<base::target_id> present;
    for (const auto& t : m_view->targets) {
        present.insert(t.id);
        const auto misplaced = m_misplaced.find(t.id);
        if (misplaced != m_misplaced.end()) {
            if (misplaced->second == std::pair(t.incarnation, t.address)) {
                continue;
            }
            m_misplaced.erase(misplaced);
        }
        m_by_service[t.service].push_back(&t);
    }
    std::erase_if(m_states, [&](const auto& one) {
        return !present.contains(one.first) && one.second.in_flight() == 0;
    });
    std::erase_if(m_misplaced, [&](const auto& one) {
        return !present.contains(one.first);
    });
}

void core::on(const limits_changed& e, base::time_point, effects&) {
    m_options.limits = e.limits;
    m_budgets.clear();
    m_shares.clear();
}

std::optional<reason> core::unroutable(const arrival& a, base::time_point now,
                                       const routes::route*& found) const {
    if (m_stop_at && now >= *m_stop_at) {
        return reason::stopping;
    }
    if (!m_view || !m_view->routes) {
        return reason::no_configuration;
    }
    found = m_view->routes->find(a.host, a.path);
    if (found == nullptr) {
        return reason::unknown_route;
    }
    return std::nullopt;
}

void core::on(const arrival& e, base::time_point now, effects& out) {
    ++m_counters.requests;
    const routes::route* route = nullptr;
    if (const auto why = unroutable(e, now, route)) {
        ++m_counters.refused_not_run;
        const bool may_come_back = *why != reason::unknown_route;
        out.emplace_back(
            refuse{e.id,
                   not_run(*why),
                   may_come_back ? std::optional(retry_soon) : std::nullopt,
                   {},
                   {},
                   0,
                   {}});
        return;
    }
    auto& p = m_pending[e.id];
    p.id = e.id;
    p.table = m_view->routes;
    p.route = route;
    p.service = pick_service(*route);
    p.object = route->sticky && !e.object.empty()
                   ? e.object
                   : std::to_string(m_random.below(UINT64_MAX));
    p.object_hash = XXH64(p.object.data(), p.object.size(), 0);
    p.arrived = now;
    p.expires =
        now + std::min(route->timeout, e.time_left.value_or(longest_wait));
    if (m_stop_at) {
        p.expires = std::min(p.expires, *m_stop_at);
    }
    m_timers.emplace(p.expires, p.id, timer::expiry);
    budget_of(p.service).request(now);
    start_first(p, now, out);
}

base::service_id core::pick_service(const routes::route& r) {
    double all = 0;
    for (const auto& part : r.services) {
        all += part.weight;
    }
    double at = m_random.unit() * all;
    for (const auto& part : r.services) {
        at -= part.weight;
        if (at < 0) {
            return part.service;
        }
    }
    return r.services.back().service;
}

work_profile& core::profile_of(const pending& p) {
    return m_profiles
        .try_emplace({p.service, p.route->idempotent, p.route->target_latency},
                     p.route->target_latency)
        .first->second;
}

repeat_budget& core::budget_of(const base::service_id& service) {
    return m_budgets.try_emplace(service, m_options.limits.repeats)
        .first->second;
}

bool core::cold_rate_used(const fleet::target& t, const target_state& s,
                          base::time_point now) const {
    if (t.cold_until <= now && !s.returned_lately(now)) {
        return false;
    }
    const auto* service = m_view->routes->find(t.service);
    const double rate = service == nullptr ? 0 : service->cold_rate;
    const double bound =
        rate * m_options.limits.cold_factor + m_options.limits.cold_slack;
    return s.sent_last_second(now) >=
           cold_share(bound, t.id, m_options.self, m_view->instances);
}

std::vector<candidate> core::candidates_of(const pending& p,
                                           base::time_point now) {
    std::vector<candidate> all;
    const auto found = m_by_service.find(p.service);
    if (found == m_by_service.end()) {
        return all;
    }
    const auto& homes = p.route->home_regions;
    all.reserve(found->second.size());
    for (const auto* t : found->second) {
        if (!homes.empty() &&
            std::find(homes.begin(), homes.end(), t->region) == homes.end()) {
            continue;
        }
        const auto& state = m_states[t->id];
        all.push_back({t, &state, t->region != m_options.region,
                       cold_rate_used(*t, state, now)});
    }
    return all;
}

region_share& core::share_of(const base::service_id& service) {
    const auto found = m_shares.find(service);
    if (found != m_shares.end()) {
        return found->second;
    }
    double home = 0;
    double all = 0;
    for (const auto* t : m_by_service[service]) {
        all += t->slots;
        home += t->region == m_options.region ? t->slots : 0;
    }
    return m_shares
        .try_emplace(service, m_options.limits.most_shifted,
                     share_abroad(home, all, m_options.regions))
        .first->second;
}

core::chosen_place core::find_place(pending& p, base::time_point now) {
    const auto candidates = candidates_of(p, now);
    const auto best =
        place(candidates, {p.object, p.object_hash, &profile_of(p),
                           p.route->target_latency, now, p.tried});
    auto& share = share_of(p.service);
    const bool abroad = share.assigned_abroad(p.object);
    const auto& assigned = abroad ? best.abroad : best.home;
    const auto& other = abroad ? best.home : best.abroad;
    if (!assigned) {
        return {other, best.candidates};
    }
    const bool better =
        other &&
        std::chrono::duration<double>(other->cost) <
            std::chrono::duration<double>(assigned->cost) * worth_crossing;
    return {share.cross(abroad, better, now) ? other : assigned,
            best.candidates};
}

void core::start_first(pending& p, base::time_point now, effects& out) {
    const auto to = find_place(p, now);
    const auto& at = to.at;
    if (!at) {
        return refuse_request(p.id, not_run(reason::no_target), {}, retry_soon,
                              now, out);
    }
    const auto verdict =
        admit(*at, {now - p.arrived, p.expires - now, p.route->target_latency,
                    p.route->priority});
    if (const auto* no = std::get_if<rejected>(&verdict)) {
        return refuse_request(p.id, not_run(reason::overloaded), at,
                              no->retry_after, now, out);
    }
    start_attempt(p, to, attempt_cause::first, now, out);
    arm_hedge(p, now);
}

void core::on(const caller_gone& e, base::time_point now, effects& out) {
    const auto found = m_pending.find(e.request);
    if (found == m_pending.end()) {
        return;
    }
    ++m_counters.callers_gone;
    abandon_all(found->second, now, out);
    forget(e.request);
}

void core::on(const tick&, base::time_point now, effects& out) {
    while (!m_timers.empty() &&
           std::get<base::time_point>(*m_timers.begin()) <= now) {
        const auto [at, id, what] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            continue;
        }
        if (what == timer::expiry) {
            expire(id, now, out);
        } else if (!found->second.open.empty()) {
            try_again(found->second, attempt_cause::hedge, now, out);
        }
    }
}

void core::expire(base::request_id id, base::time_point now, effects& out) {
    auto& p = m_pending.at(id);
    abandon_all(p, now, out);
    const auto final_outcome =
        p.may_have_run ? outcome::unknown : outcome::not_run;
    refuse_request(id, {final_outcome, reason::deadline_expired}, {}, {}, now,
                   out);
}

void core::refuse_request(base::request_id id, refusal r,
                          std::optional<placement> best,
                          std::optional<milliseconds> retry_after,
                          base::time_point now, effects& out) {
    const auto& p = m_pending.at(id);
    ++(r.outcome == outcome::not_run ? m_counters.refused_not_run
                                     : m_counters.refused_unknown);
    out.emplace_back(refuse{id, r, retry_after, p.route->id, now - p.arrived,
                            p.sent + p.connects, best});
    forget(id);
}

void core::forget(base::request_id id) {
    const auto found = m_pending.find(id);
    m_timers.erase({found->second.expires, id, timer::expiry});
    if (found->second.hedge_at) {
        m_timers.erase({*found->second.hedge_at, id, timer::hedge});
    }
    m_pending.erase(found);
}

void core::on(const stop_requested& e, base::time_point, effects&) {
    m_stop_at = e.until;
}

} // namespace pollenreel::dispatch
