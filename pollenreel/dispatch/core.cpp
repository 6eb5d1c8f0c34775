#include "pollenreel/dispatch/core.hpp"

#include "pollenreel/dispatch/admission.hpp"
#include "pollenreel/dispatch/cold_rate.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using request::outcome;
using request::reason;
using request::refusal;
using std::chrono::milliseconds;

// Requests whose callers tell no deadline.
constexpr milliseconds longest_wait{60'000};
// Attempts of one request that fail before anything is sent.
constexpr std::uint32_t most_connects = 4;
// A hedge is sent once an attempt takes longer than this share of its kind.
constexpr double hedge_quantile = 0.95;
// Retry-After where nothing tells when there will be room: the time in which
// a failed target is replaced by another or a configuration arrives.
constexpr milliseconds retry_soon{250};
constexpr unsigned first_server_error = 500;
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

void core::arm_hedge(pending& p, base::time_point now) {
    if (!p.route->idempotent || p.route->max_attempts < 2) {
        return;
    }
    const auto usual = profile_of(p).quantile(hedge_quantile);
    const auto delay = std::max<base::duration>(
        p.route->target_latency / 2, usual.value_or(p.route->target_latency));
    p.hedge_at = now + delay;
    if (*p.hedge_at < p.expires) {
        m_timers.emplace(*p.hedge_at, p.id, timer::hedge);
    }
}

bool core::try_again(pending& p, attempt_cause cause, base::time_point now,
                     effects& out) {
    const bool safe = p.route->idempotent || !p.may_have_run;
    if (!safe || p.sent >= p.route->max_attempts ||
        p.connects >= most_connects || now >= p.expires || !m_view ||
        !m_view->routes) {
        return false;
    }
    const auto to = find_place(p, now);
    const auto& at = to.at;
    if (!at ||
        (cause == attempt_cause::hedge && at->wait > base::duration::zero())) {
        return false;
    }
    if (!worth_sending(at->expected, p.expires - now)) {
        return false;
    }
    // What was never sent reached no target: it is no repeat.
    if (p.sent > 0 &&
        !budget_of(p.service).spend(m_view->instances.size(), now)) {
        return false;
    }
    start_attempt(p, to, cause, now, out);
    return true;
}

void core::start_attempt(pending& p, const chosen_place& to,
                         attempt_cause cause, base::time_point now,
                         effects& out) {
    const auto& at = *to.at;
    m_last_attempt = m_last_attempt.next();
    const auto id = m_last_attempt;
    auto& state = m_states[at.target->id];
    const auto* service = m_view->routes->find(p.service);
    const auto instances = std::max<std::size_t>(1, m_view->instances.size());
    request::open_attempt o;
    o.attempt = id;
    o.request = p.id;
    o.to = {at.target->id, at.target->address};
    o.deadline = p.expires;
    o.idempotent = p.route->idempotent;
    o.most_connections = std::max<std::uint32_t>(
        1, service == nullptr ? 1
                              : service->connection_limit /
                                    static_cast<std::uint32_t>(instances));
    choice_record record{
        p.route->id,
        p.service,
        at.target->id,
        cause,
        at,
        to.candidates,
        share_of(p.service).abroad(),
        state.load_age(now),
        state.in_flight(),
        budget_of(p.service).left(m_view->instances.size(), now),
        p.expires - now};
    m_open[id] = {{},
                  p.id,
                  at.target->id,
                  now,
                  at.kind,
                  at.wait > base::duration::zero(),
                  state.slowdown(now)};
    state.started(now);
    p.open.push_back(id);
    p.tried.push_back(at.target->id);
    ++m_counters.attempts;
    m_counters.repeats += cause == attempt_cause::repeat ? 1 : 0;
    m_counters.hedges += cause == attempt_cause::hedge ? 1 : 0;
    out.emplace_back(open_attempt{o, std::move(record)});
}

void core::on(const request::attempt_connected& e, base::time_point now,
              effects& out) {
    const auto found = m_open.find(e.attempt);
    if (found == m_open.end() ||
        found->second.machine.on_connected() != request::attempt::step::send) {
        return;
    }
    auto& p = m_pending.at(found->second.request);
    ++p.sent;
    out.emplace_back(request::send_attempt{
        e.attempt, std::chrono::duration_cast<milliseconds>(p.expires - now)});
}

void core::on(const request::attempt_connect_failed& e, base::time_point now,
              effects& out) {
    const auto found = m_open.find(e.attempt);
    if (found == m_open.end()) {
        return;
    }
    ++m_pending.at(found->second.request).connects;
    found->second.machine.on_connect_failed();
    after_failure(e.attempt, attempt_result::connect_failed, now, out);
}

void core::on(const request::attempt_lost& e, base::time_point now,
              effects& out) {
    const auto found = m_open.find(e.attempt);
    if (found == m_open.end()) {
        return;
    }
    found->second.machine.on_lost();
    after_failure(e.attempt, attempt_result::lost, now, out);
}

void core::on(const request::attempt_answered& e, base::time_point now,
              effects& out) {
    const auto found = m_open.find(e.attempt);
    if (found == m_open.end()) {
        return;
    }
    auto& o = found->second;
    auto& p = m_pending.at(o.request);
    const auto target = o.target;
    const auto began = o.since;
    if (e.facts.wrong_target) {
        const auto known =
            std::find_if(m_view->targets.begin(), m_view->targets.end(),
                         [&](const auto& t) { return t.id == target; });
        if (known != m_view->targets.end()) {
            m_misplaced[target] = {known->incarnation, known->address};
            std::erase_if(m_by_service[p.service],
                          [&](const auto* t) { return t->id == target; });
        }
    }
    const auto step = o.machine.on_answer(e.facts);
    const bool forwarded = step == request::attempt::step::forward;
    const bool server_error = e.facts.status >= first_server_error;
    auto result = attempt_result::answered;
    if (!forwarded) {
        result = e.facts.shed ? attempt_result::shed : attempt_result::lost;
    } else if (server_error) {
        result = attempt_result::server_error;
    }
    if (result == attempt_result::answered && !o.queued) {
        const auto scaled = std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(now - o.since) / o.slowdown);
        profile_of(p).add(o.kind, scaled);
    }
    if (result == attempt_result::answered) {
        m_states[target].objects().add(p.object_hash, now);
    }
    if (!forwarded) {
        after_failure(e.attempt, result, now, out);
    } else if (server_error && p.route->idempotent && p.open.size() == 1) {
        close_attempt(e.attempt, result, now);
        p.may_have_run = true;
        if (try_again(p, attempt_cause::repeat, now, out)) {
            out.emplace_back(
                attempt_failed{p.id,
                               e.attempt,
                               target,
                               {outcome::unknown, reason::target_error},
                               now - began});
        } else {
            forward(e.attempt, p, now, out);
        }
    } else {
        close_attempt(e.attempt, result, now);
        forward(e.attempt, p, now, out);
    }
    if (e.facts.load) {
        m_states[target].told(*e.facts.load, now);
    }
}

void core::forward(base::attempt_id id, pending& p, base::time_point now,
                   effects& out) {
    abandon_all(p, now, out);
    m_last_was_late = now - p.arrived > p.route->target_latency;
    m_counters.late += m_last_was_late ? 1 : 0;
    ++m_counters.forwarded;
    const auto request = p.id;
    out.emplace_back(request::forward_answer{request, id});
    forget(request);
}

void core::after_failure(base::attempt_id id, attempt_result result,
                         base::time_point now, effects& out) {
    const auto o = m_open.at(id);
    const auto failure = o.machine.failure();
    auto& p = m_pending.at(o.request);
    p.may_have_run = p.may_have_run || failure.outcome == outcome::unknown;
    close_attempt(id, result, now);
    out.emplace_back(
        attempt_failed{p.id, id, o.target, failure, now - o.since});
    if (!p.open.empty() || try_again(p, attempt_cause::repeat, now, out)) {
        return;
    }
    const auto final_outcome =
        p.may_have_run ? outcome::unknown : outcome::not_run;
    refuse_request(p.id, {final_outcome, failure.reason}, {},
                   p.may_have_run ? std::nullopt : std::optional(retry_soon),
                   now, out);
}

void core::close_attempt(base::attempt_id id, attempt_result result,
                         base::time_point now) {
    const auto found = m_open.find(id);
    m_states[found->second.target].ended(result, found->second.since, now);
    std::erase(m_pending.at(found->second.request).open, id);
    m_open.erase(found);
}

void core::abandon_all(pending& p, base::time_point now, effects& out) {
    const auto all = p.open;
    for (const auto id : all) {
        const bool sent =
            m_open.at(id).machine.current() == request::attempt::phase::sent;
        p.may_have_run = p.may_have_run || sent;
        close_attempt(id, attempt_result::cancelled, now);
        out.emplace_back(request::abandon_attempt{id});
    }
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
