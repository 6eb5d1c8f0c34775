#include "pollenreel/dispatch/core.hpp"

#include "pollenreel/dispatch/admission.hpp"
#include "pollenreel/dispatch/cold_quota.hpp"
#include "pollenreel/dispatch/connection_share.hpp"
#include "pollenreel/dispatch/internal/default_retry_after.hpp"
#include "pollenreel/dispatch/key_freshness.hpp"
#include "pollenreel/dispatch/limit_share.hpp"
#include "pollenreel/fleet/rendezvous.hpp"
#include "pollenreel/routes/traffic_split.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pollenreel::dispatch {

namespace {

using internal::default_retry_after;
using request::outcome;
using request::reason;
using request::refusal;
using std::chrono::milliseconds;

// Applies to requests whose callers send no deadline.
constexpr milliseconds default_time_left{60'000};
// A request is reassigned to the other side only if its cost there is less than
// this fraction of the cost on the assigned side.
constexpr double max_reassign_cost_ratio = 0.8;

// Earliest deadline of the caller and the route.
base::time_point expiry_of(const arrival& a, const routes::route& r,
                           base::time_point now) {
    return now + std::min(r.timeout, a.time_left.value_or(default_time_left));
}

// Other instances can take the request at once.
constexpr milliseconds stopping_retry_after{50};
// Operators need at least seconds to replace a configuration.
constexpr milliseconds unreadable_retry_after{1000};

std::optional<milliseconds> retry_after_routing(reason r) {
    switch (r) {
    case reason::unknown_route:
    case reason::missing_key:
    case reason::unknown_key:
        return std::nullopt;
    case reason::unreadable_route:
    case reason::unreadable_key:
    case reason::no_home:
        return unreadable_retry_after;
    case reason::stopping:
        return stopping_retry_after;
    default:
        return default_retry_after;
    }
}

// Retry-After of a request that had to find a free slot.
milliseconds room_delay(base::duration wait) {
    return std::max(default_retry_after,
                    std::chrono::duration_cast<milliseconds>(wait));
}

// An instance that the store turns away is dropped from the list and goes on
// sending. It counts for so long, longer than most outages last.
constexpr std::chrono::seconds unlisted_instance_lifetime{60};

// Of the rate for a cold target. Instances that are out of contact with the
// store do not hear which others are, and those list only each other.
constexpr double fraction_out_of_contact = 0.5;

// Instances that are not listed yet may admit requests too: a list that is not
// known to be complete counts as at least this many.
constexpr std::size_t min_unknown_instances = 64;

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

core::core(options o) : m_options(std::move(o)), m_random(m_options.seed) {
    start_gate();
}

void core::start_gate() {
    const auto& l = m_options.limits;
    m_gate.reset();
    if (l.quota_window > milliseconds::zero()) {
        // Not from `m_random`: other decisions stay the same with a gate. A
        // gate that is replaced counts anew.
        const auto run =
            XXH64(m_options.self.str().data(), m_options.self.str().size(),
                  m_options.seed + m_gate_starts++);
        m_gate.emplace(
            quota::limits{l.quota_window, l.quota_over, l.quota_slack}, run);
    }
}

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

void core::on(const view_changed& e, base::time_point now, effects& out) {
    const bool reconfigured = !m_view || m_view->routes != e.view->routes;
    note_instances(*e.view, now);
    m_view = e.view;
    ++m_view_number;
    if (m_gate) {
        m_gate->on_instances(quota_instances());
    }
    if (reconfigured) {
        update_quotas(now);
    }
    note_restarts(now, out);
    m_departing.update(m_view->targets, now);
    m_targets_by_service.clear();
    std::set<base::target_id> present;
    for (const auto& t : m_view->targets) {
        present.insert(t.id);
        const auto misplaced = m_misaddressed.find(t.id);
        if (misplaced != m_misaddressed.end()) {
            if (misplaced->second == std::pair(t.incarnation, t.address)) {
                continue;
            }
            m_misaddressed.erase(misplaced);
        }
        if (m_departing.contains(t)) {
            continue;
        }
        m_targets_by_service[t.service].push_back(&t);
    }
    std::erase_if(m_target_states, [&](const auto& one) {
        return !present.contains(one.first) && one.second.in_flight() == 0 &&
               !one.second.must_be_kept(now);
    });
    std::erase_if(m_misaddressed, [&](const auto& one) {
        return !present.contains(one.first);
    });
}

void core::on(const loads_shared& e, base::time_point now, effects&) {
    if (!m_options.limits.share_loads || !m_view) {
        return;
    }
    boost::unordered_flat_map<std::uint64_t, const fleet::shared_load*> news;
    for (const auto& l : e.loads) {
        if (m_shared_loads.add(l, shared_loads::source::relayed, "", now)) {
            news[l.target] = &l;
        }
    }
    for (const auto& t : m_view->targets) {
        const auto found = news.find(hash_of(t.id));
        if (found == news.end() ||
            found->second->incarnation != t.incarnation) {
            continue;
        }
        const auto& l = *found->second;
        m_target_states[t.id].on_shared_report(
            {l.running, l.waiting, t.slots, l.slowdown_percent}, now - l.age);
    }
}

void core::note_load(const base::target_id& target, std::int64_t incarnation,
                     const request::target_load& load, bool may_share,
                     base::time_point now) {
    m_target_states[target].on_load_report(load, now);
    if (may_share && m_options.limits.share_loads) {
        m_shared_loads.add({hash_of(target),
                            load.running,
                            load.waiting,
                            load.slowdown_percent,
                            {},
                            incarnation},
                           shared_loads::source::heard, "", now);
    }
}

std::vector<fleet::shared_load> core::take_load_news(base::time_point now) {
    return m_shared_loads.news_for("", shared_loads::selection::heard, now);
}

void core::on(const limits_changed& e, base::time_point now, effects&) {
    const auto old = m_options.limits;
    if (!e.limits.share_loads) {
        m_shared_loads = {};
    }
    m_options.limits = e.limits;
    m_budgets.clear();
    m_shares.clear();
    if (std::tie(old.quota_window, old.quota_over, old.quota_slack) !=
        std::tie(e.limits.quota_window, e.limits.quota_over,
                 e.limits.quota_slack)) {
        start_gate();
        update_quotas(now);
    }
}

void core::update_quotas(base::time_point now) {
    if (m_gate && m_view && m_view->routes &&
        m_view->routes->source().tenants) {
        m_gate->on_tenants(*m_view->routes->source().tenants, now);
    }
}

void core::on(const usage_news_received& e, base::time_point now, effects&) {
    if (m_gate) {
        m_gate->on_news(e.news, now);
    }
}

std::optional<quota::usage_report> core::report_usage(bool whole,
                                                      base::time_point now) {
    if (!m_gate || !m_gate->has_limits()) {
        return std::nullopt;
    }
    return m_gate->report(m_options.self, whole, now);
}

std::optional<reason> core::find_route(const arrival& a, base::time_point now,
                                       const routes::route*& found) const {
    if (!m_view || !m_view->routes) {
        return reason::no_configuration;
    }
    found = m_view->routes->find(a.host, a.path);
    if (found != nullptr && m_stop_at &&
        expiry_of(a, *found, now) > *m_stop_at) {
        // It could be cut off, or answered only after the process has ended.
        return reason::stopping;
    }
    if (found == nullptr) {
        return m_view->routes->source().is_complete ? reason::unknown_route
                                                    : reason::unreadable_route;
    }
    if (found->withheld) {
        return reason::unreadable_route;
    }
    return std::nullopt;
}

std::optional<reason> core::find_tenant(const arrival& a, base::time_point now,
                                        const routes::tenant*& found) const {
    const auto& c = m_view->routes->source();
    // A newer version may know a key that this one does not.
    const bool fresh = are_keys_fresh(a.read_at);
    const bool may_be_outdated =
        !fresh || m_view->is_configuration_outdated ||
        now - m_view->confirmed_at >= m_options.configuration_bound;
    if (!a.key) {
        // It may also ask for no key.
        return may_be_outdated ? reason::keys_unconfirmed : reason::missing_key;
    }
    if (!fresh) {
        return reason::keys_unconfirmed;
    }
    const auto match = m_view->routes->find_tenant(*a.key);
    if (match.is_ambiguous) {
        return reason::unreadable_key;
    }
    if (match.holder == nullptr) {
        return may_be_outdated || !c.tenants_complete ? reason::keys_unconfirmed
                                                      : reason::unknown_key;
    }
    found = match.holder;
    return found->withheld ? std::optional(reason::unreadable_key)
                           : std::nullopt;
}

bool core::are_keys_fresh(base::boot_time now) const {
    return m_view && is_key_view_fresh(m_view->configuration_confirmed_at,
                                       m_options.limits.revocation_bound, now);
}

std::optional<reason> core::identify(const arrival& a, base::time_point now,
                                     identity& found) const {
    if (const auto why = find_route(a, now, found.route)) {
        return why;
    }
    if (!m_view->routes->source().tenants || found.route->is_public) {
        return std::nullopt;
    }
    if (const auto why = find_tenant(a, now, found.tenant)) {
        return why;
    }
    return routes::homes_are_disjoint(*found.route, found.tenant)
               ? std::optional(reason::no_home)
               : std::nullopt;
}

refuse core::refuse_unidentified(const arrival& a, const identity& found,
                                 reason why) {
    ++m_counters.requests;
    ++m_counters.refused_not_run;
    refuse r{a.id, not_run(why), retry_after_routing(why), {}, {}, 0, {}};
    if (found.tenant != nullptr) {
        r.route = found.route->id;
        r.tenant = found.tenant->name;
    }
    return r;
}

std::optional<refuse> core::refuse_before_body(const arrival& a,
                                               base::time_point now) {
    identity found;
    const auto why = identify(a, now, found);
    return why ? std::optional(refuse_unidentified(a, found, *why))
               : std::nullopt;
}

std::optional<refuse> core::refuse_over_quota(const arrival& a,
                                              const identity& found,
                                              base::time_point now) {
    if (!m_gate || found.tenant == nullptr ||
        found.tenant->requests_per_s <= 0) {
        return std::nullopt;
    }
    const auto verdict =
        m_gate->admit(*found.tenant, quota_instances(), now, m_random.unit());
    const auto* over = std::get_if<quota::over_quota>(&verdict);
    if (over == nullptr) {
        return std::nullopt;
    }
    auto r = refuse_unidentified(a, found, reason::over_quota);
    // Up to twice as long, so that callers do not return at once.
    r.retry_after = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(over->retry_after) *
        (1 + m_random.unit()));
    return r;
}

std::size_t core::quota_instances() const {
    const auto listed = m_view->instances.size();
    return m_view->instances_known ? listed
                                   : std::max(listed, min_unknown_instances);
}

void core::refund(const pending_request& pending, base::time_point now) {
    if (m_gate && pending.tenant != nullptr &&
        pending.tenant->requests_per_s > 0) {
        m_gate->refund(quota::hash_of(pending.tenant->name), now);
    }
}

double core::excess_for(const pending_request& pending,
                        base::time_point now) const {
    if (!m_gate || pending.tenant == nullptr ||
        pending.tenant->requests_per_s <= 0) {
        return 0;
    }
    return excess_demand_rank(
        m_gate->relative_demand(quota::hash_of(pending.tenant->name), now));
}

double core::rank_for(const pending_request& pending,
                      base::time_point now) const {
    return routes::rank_of(*pending.route, pending.tenant) +
           excess_for(pending, now);
}

void core::on(const arrival& e, base::time_point now, effects& out) {
    identity found;
    if (const auto why = identify(e, now, found)) {
        out.emplace_back(refuse_unidentified(e, found, *why));
        return;
    }
    if (auto refused = refuse_over_quota(e, found, now)) {
        out.emplace_back(std::move(*refused));
        return;
    }
    const auto* route = found.route;
    ++m_counters.requests;
    auto& pending = m_pending[e.id];
    pending.id = e.id;
    pending.table = m_view->routes;
    pending.route = route;
    pending.tenant = found.tenant;
    pending.service = routes::select_service(*route, m_random.unit());
    pending.object = route->sticky && !e.object.empty()
                         ? e.object
                         : std::to_string(m_random.below(UINT64_MAX));
    pending.object_hash =
        XXH64(pending.object.data(), pending.object.size(), 0);
    pending.arrived_at = now;
    pending.expires_at = expiry_of(e, *route, now);
    m_timers.emplace(pending.expires_at, pending.id, timer::expiry);
    budget_for(pending.service).on_request(now);
    start_first_attempt(pending, now, out);
}

latency_profile& core::profile_for(const pending_request& pending) {
    return m_profiles
        .try_emplace({pending.service, pending.route->idempotent,
                      pending.route->target_latency},
                     pending.route->target_latency)
        .first->second;
}

retry_budget& core::budget_for(const base::service_id& service) {
    return m_budgets.try_emplace(service, m_options.limits.repeats)
        .first->second;
}

bool core::is_cold_quota_exhausted(const fleet::target& t,
                                   const target_state& s, std::size_t sent,
                                   base::time_point now) const {
    const bool is_cold =
        s.cold_until(t.cold_until, m_options.max_report_age) > now ||
        (s.recently_recovered(now) && check_path_of(t.service).empty());
    return is_cold && sent >= cold_quota_at(t, now);
}

std::size_t core::cold_quota_at(const fleet::target& t,
                                base::time_point now) const {
    if (!m_view->instances_known || !m_view->routes) {
        return 0;
    }
    const bool in_contact =
        now - m_view->confirmed_at <= m_options.max_report_age;
    return cold_quota(cold_bound_of(t) *
                          (in_contact ? 1 : fraction_out_of_contact),
                      t.id, m_options.self, m_sending_instances);
}

double core::cold_bound_of(const fleet::target& t) const {
    const auto* service = m_view->routes->find(t.service);
    const double rate = service == nullptr ? 0 : service->cold_rate;
    return rate * m_options.limits.cold_factor + m_options.limits.cold_slack;
}

void core::note_instances(const fleet::view& next, base::time_point now) {
    const bool is_same = m_view && m_view->instances == next.instances;
    if (!is_same) {
        m_check_peers = choose_check_peers(m_options.self, m_options.region,
                                           next.instances);
    }
    if (is_same && m_unlisted_instances.empty()) {
        return;
    }
    if (m_view && !is_same) {
        for (const auto& i : m_view->instances) {
            m_unlisted_instances.try_emplace(i.id, i, now);
        }
    }
    for (const auto& i : next.instances) {
        m_unlisted_instances.erase(i.id);
    }
    std::erase_if(m_unlisted_instances, [&](const auto& one) {
        return now - one.second.second >= unlisted_instance_lifetime;
    });
    m_sending_instances = next.instances;
    for (const auto& [id, one] : m_unlisted_instances) {
        m_sending_instances.push_back(one.first);
    }
}

void core::note_restarts(base::time_point now, effects& out) {
    for (const auto& t : m_view->targets) {
        const auto known = m_target_states.find(t.id);
        if (known != m_target_states.end() &&
            known->second.note_incarnation(t.incarnation)) {
            known->second.forget_former_process();
            out.emplace_back(target_restarted{
                t.id, t.cold_until - now, known->second.sent_last_second(now),
                cold_quota_at(t, now)});
        }
    }
}

void core::update_limit_share(const fleet::target& t, target_state& s,
                              base::time_point now) {
    const auto limit = s.limit(t.incarnation);
    if (!limit || !s.needs_share(m_view_number)) {
        return;
    }
    double home_slots = 0;
    double all_slots = 0;
    for (const auto* other : m_targets_by_service[t.service]) {
        all_slots += other->slots;
        home_slots += other->region == t.region ? other->slots : 0;
    }
    fleet::instance self;
    self.id = m_options.self;
    self.region = m_options.region;
    const auto share =
        share_limit({*limit, t.id, t.region,
                     home_fraction(home_slots, all_slots, m_options.regions)},
                    self, m_view->instances);
    const auto hash = fleet::rendezvous_score(self.id.str(), t.id.str());
    s.set_share(share, std::ldexp(static_cast<double>(hash), -64),
                m_view_number, now);
}

milliseconds core::retry_delay(const base::service_id& service,
                               base::time_point now) const {
    const auto targets = m_targets_by_service.find(service);
    if (targets == m_targets_by_service.end()) {
        return default_retry_after;
    }
    std::optional<base::time_point> earliest;
    for (const auto* t : targets->second) {
        const auto state = m_target_states.find(t->id);
        const auto until =
            state == m_target_states.end()
                ? std::nullopt
                : state->second.withheld_until(t->incarnation, now);
        if (!until) {
            return default_retry_after;
        }
        earliest = std::min(earliest.value_or(*until), *until);
    }
    return std::max(
        default_retry_after,
        std::chrono::duration_cast<milliseconds>(earliest.value_or(now) - now));
}

std::uint32_t core::connections_at(const fleet::target& t,
                                   const target_state& s,
                                   base::time_point now) const {
    const auto* service = m_view->routes->find(t.service);
    if (m_options.limits.hold_connections && !m_view->instances_known) {
        // After a restart the view may list this instance alone, which would
        // then take the whole limit.
        return 1;
    }
    connection_query q;
    q.limit = service == nullptr ? 1 : service->connection_limit;
    q.instances = m_sending_instances.size();
    if (m_options.limits.hold_connections) {
        q.occupancy = s.occupancy(now);
        q.slots = t.slots;
        q.failed_lately = s.failed_lately(now);
    }
    return connection_share(q);
}

std::vector<candidate> core::candidates_for(const pending_request& pending,
                                            attempt_cause cause,
                                            base::time_point now) {
    std::vector<candidate> all;
    const auto found = m_targets_by_service.find(pending.service);
    if (found == m_targets_by_service.end()) {
        return all;
    }
    all.reserve(found->second.size());
    for (const auto* t : found->second) {
        if (!routes::may_run_in(*pending.route, pending.tenant, t->region)) {
            continue;
        }
        auto& state = m_target_states[t->id];
        state.note_incarnation(t->incarnation);
        update_limit_share(*t, state, now);
        all.push_back(
            {t, &state, t->region != m_options.region,
             state.withheld_until(t->incarnation, now) ||
                 is_cold_quota_exhausted(*t, state, state.sent_last_second(now),
                                         now),
             m_options.limits.hold_connections &&
                 state.in_flight() >=
                     attempts_allowed(connections_at(*t, state, now),
                                      cause == attempt_cause::first)});
    }
    return all;
}

region_share& core::share_for(const base::service_id& service) {
    const auto found = m_shares.find(service);
    if (found != m_shares.end()) {
        return found->second;
    }
    double home = 0;
    double all = 0;
    for (const auto* t : m_targets_by_service[service]) {
        all += t->slots;
        home += t->region == m_options.region ? t->slots : 0;
    }
    return m_shares
        .try_emplace(service, m_options.limits.most_shifted,
                     share_abroad(home, all, m_options.regions))
        .first->second;
}

core::placement_choice core::choose_placement(pending_request& pending,
                                              attempt_cause cause,
                                              base::time_point now) {
    const auto candidates = candidates_for(pending, cause, now);
    const bool lacks_connections =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const auto& c) { return c.lacks_connection; });
    const auto best = find_placements(
        candidates, {pending.object, pending.object_hash, &profile_for(pending),
                     pending.route->target_latency, now, pending.tried,
                     pending.needs_room});
    auto& share = share_for(pending.service);
    const bool abroad = share.assigned_abroad(pending.object);
    const auto& assigned = abroad ? best.abroad : best.home;
    const auto& other = abroad ? best.home : best.abroad;
    const bool side_lacks_connections =
        std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) {
            return c.abroad == abroad && c.lacks_connection;
        });
    if (!assigned && (pending.needs_room || side_lacks_connections)) {
        // The targets of that side may be full, not absent, so that the bound
        // on requests that change sides holds.
        const bool reassigned =
            share.try_reassign(abroad, other.has_value(), now);
        return {reassigned ? other : std::nullopt, best.candidates,
                lacks_connections, best.shortest_wait};
    }
    if (!assigned) {
        return {other, best.candidates, lacks_connections, best.shortest_wait};
    }
    bool better = other && std::chrono::duration<double>(other->cost) <
                               std::chrono::duration<double>(assigned->cost) *
                                   max_reassign_cost_ratio;
    if (other && m_options.limits.spill_by_wait) {
        better = m_region_waits[pending.service]
                     .is_better_elsewhere(abroad, now)
                     .value_or(better);
    }
    return {share.try_reassign(abroad, better, now) ? other : assigned,
            best.candidates, lacks_connections, best.shortest_wait};
}

bool core::yields_to_urgent(const pending_request& pending,
                            base::time_point now) {
    return m_options.limits.queue_by_rank &&
           m_queueing_ranks[pending.service].has_more_urgent(
               rank_for(pending, now), pending.route->target_latency, now);
}

void core::start_first_attempt(pending_request& pending, base::time_point now,
                               effects& out) {
    pending.needs_room = yields_to_urgent(pending, now);
    const auto choice = choose_placement(pending, attempt_cause::first, now);
    const auto& best = choice.best;
    if (m_options.limits.queue_by_rank && choice.shortest_wait &&
        (!best || best->wait > base::duration::zero())) {
        m_queueing_ranks[pending.service].on_queueing(rank_for(pending, now),
                                                      now);
    }
    if (!best && pending.needs_room && choice.shortest_wait) {
        return refuse_request(pending.id, not_run(reason::overloaded), {},
                              room_delay(*choice.shortest_wait), now, out);
    }
    if (!best) {
        return refuse_request(pending.id,
                              not_run(choice.lacks_connections
                                          ? reason::overloaded
                                          : reason::no_target),
                              {}, retry_delay(pending.service, now), now, out);
    }
    const auto verdict =
        admit(*best, {now - pending.arrived_at, pending.expires_at - now,
                      pending.route->target_latency,
                      routes::rank_of(*pending.route, pending.tenant),
                      m_options.limits.shed_late, excess_for(pending, now)});
    if (const auto* rejection = std::get_if<rejected>(&verdict)) {
        const auto room =
            m_options.limits.retry_after_spread > 0 && choice.shortest_wait
                ? std::chrono::duration_cast<milliseconds>(
                      *choice.shortest_wait)
                : rejection->retry_after;
        return refuse_request(pending.id, not_run(reason::overloaded), best,
                              room, now, out);
    }
    start_attempt(pending, choice, attempt_cause::first, now, out);
    schedule_hedge(pending, now);
}

void core::on(const caller_gone& e, base::time_point now, effects& out) {
    const auto found = m_pending.find(e.request);
    if (found == m_pending.end()) {
        return;
    }
    ++m_counters.callers_gone;
    abandon_open_attempts(found->second, now, out);
    if (!found->second.may_have_run) {
        refund(found->second, now);
    }
    remove_request(e.request);
}

void core::on(const tick&, base::time_point now, effects& out) {
    while (!m_timers.empty() &&
           std::get<base::time_point>(*m_timers.begin()) <= now) {
        const auto [at, id, timer_kind] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            continue;
        }
        if (timer_kind == timer::expiry) {
            expire(id, now, out);
        } else if (!found->second.open_attempts.empty()) {
            try_another_attempt(found->second, attempt_cause::hedge, now, out);
        }
    }
}

void core::expire(base::request_id id, base::time_point now, effects& out) {
    auto& pending = m_pending.at(id);
    abandon_open_attempts(pending, now, out);
    const auto final_outcome =
        pending.may_have_run ? outcome::unknown : outcome::not_run;
    refuse_request(id, {final_outcome, reason::deadline_expired}, {}, {}, now,
                   out);
}

void core::refuse_request(base::request_id id, refusal r,
                          std::optional<placement> best,
                          std::optional<milliseconds> retry_after,
                          base::time_point now, effects& out) {
    const auto& pending = m_pending.at(id);
    ++(r.outcome == outcome::not_run ? m_counters.refused_not_run
                                     : m_counters.refused_unknown);
    const double spread = m_options.limits.retry_after_spread;
    if (retry_after && spread > 0) {
        *retry_after += std::chrono::duration_cast<milliseconds>(
            pending.route->target_latency * spread * m_random.unit());
    }
    out.emplace_back(refuse{id, r, retry_after, pending.route->id,
                            now - pending.arrived_at,
                            pending.sent_attempts + pending.failed_connects,
                            best, tenant_name(pending)});
    if (r.outcome == outcome::not_run) {
        refund(pending, now);
    }
    remove_request(id);
}

void core::remove_request(base::request_id id) {
    const auto found = m_pending.find(id);
    m_timers.erase({found->second.expires_at, id, timer::expiry});
    if (found->second.hedge_at) {
        m_timers.erase({*found->second.hedge_at, id, timer::hedge});
    }
    m_pending.erase(found);
}

void core::on(const stop_requested& e, base::time_point, effects&) {
    m_stop_at = e.until;
}

} // namespace pollenreel::dispatch
