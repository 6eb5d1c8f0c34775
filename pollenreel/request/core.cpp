#include "pollenreel/request/core.hpp"

#include "pollenreel/request/admit.hpp"
#include "pollenreel/request/choose_region.hpp"
#include "pollenreel/request/classify.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::request {

namespace {

// Attempts of one request, the first included. More would let a request walk
// through a failing fleet.
constexpr std::size_t max_attempts = 3;
// Long-running work costs too much to repeat for the sake of its tail: it is
// sent a second time only when it takes this multiple of the hedging delay,
// which a forgotten connection or a dead target does. Lower finds that sooner.
constexpr int overdue_factor = 4;

} // namespace

core::core(options o)
    : m_options(o), m_snapshot(std::make_shared<routing::snapshot>()),
      m_random(o.seed) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, e);
    start_queued(now, out);
    return out;
}

std::optional<base::time_point> core::next_wakeup() const {
    if (m_timers.empty()) {
        return std::nullopt;
    }
    return std::get<base::time_point>(*m_timers.begin());
}

std::size_t core::requests_in_flight() const {
    return m_pending.size();
}

void core::on(const snapshot_changed& e, base::time_point now, effects&) {
    const auto before = std::exchange(m_snapshot, e.snapshot);
    begin_slow_starts(*before, now);
    for (auto& [key, at] : m_pools) {
        const auto service = m_snapshot->services.find(key.first);
        at.plan = service == m_snapshot->services.end()
                      ? service_plan{}
                      : make_service_plan(service->second, key.second,
                                          *m_snapshot, m_options.thread);
        m_pools_to_recheck.insert(&at);
    }
}

void core::begin_slow_starts(const routing::snapshot& before,
                             base::time_point now) {
    for (const auto& [id, service] : m_snapshot->services) {
        const auto old = before.services.find(id);
        if (old == before.services.end()) {
            continue; // all are new to this thread, none to the fleet
        }
        for (const auto& t : service.targets) {
            const bool took_work =
                std::any_of(old->second.targets.begin(),
                            old->second.targets.end(), [&](const auto& o) {
                                return o.id == t.id && o.accepts_new_work;
                            });
            if (t.accepts_new_work && !took_work) {
                m_targets.begin_slow_start(t.id, service.slow_start, now);
            }
        }
    }
}

void core::on(const incoming_request& e, base::time_point now, effects& out) {
    ++m_counters.requests;
    auto c = classify(e, *m_snapshot, now);
    if (const auto* r = std::get_if<refusal>(&c)) {
        return refuse(e.id, *r, now, out);
    }
    auto a = admit(std::get<classified_request>(std::move(c)),
                   thread_load{m_pending.size(), m_stopping});
    if (const auto* r = std::get_if<refusal>(&a)) {
        return refuse(e.id, *r, now, out);
    }
    const auto& request = std::get<classified_request>(a);
    auto way =
        choose_region(request, e.bytes, *m_snapshot, m_targets, m_spender, now);
    if (const auto* r = std::get_if<refusal>(&way)) {
        return refuse(e.id, *r, now, out);
    }
    auto& p = m_pending[e.id];
    p.request = request;
    p.destination = std::get<shift::go>(std::move(way));
    p.region = p.destination.to;
    p.arrived_at = now;
    p.lane = request.kind.long_running ? lane::long_work : lane::short_work;
    m_timers.emplace(p.request.deadline, e.id, timer::deadline);
    auto& state = state_for(p.request);
    state.hedge_budget.deposit(p.request.kind.hedge_budget_percent);
    state.retry_budget.deposit(p.request.kind.retry_budget_percent);
    start_or_enqueue(p, now, out);
}

core::kind_state& core::state_for(const classified_request& c) {
    return m_kinds[{c.service, c.kind.id}];
}

std::optional<refusal> core::start_attempt(pending_request& p,
                                           attempt_cause why,
                                           base::time_point now, effects& out) {
    if (now >= p.request.deadline) {
        return refusal{outcome::not_run, reason::deadline_expired};
    }
    const auto wanted = preferred_targets(p, pool_for(p));
    const auto& plan = pool_for(p).plan;
    auto chosen = choose_target(
        p.request, p.region, *m_snapshot, m_options.policy, m_targets,
        {p.tried_targets, wanted, plan.subset, plan.connections_per_target},
        now, m_random);
    if (const auto* r = std::get_if<refusal>(&chosen)) {
        return *r;
    }
    if (!m_spender.may_start(p.destination, now)) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    const auto& to = std::get<chosen_target>(chosen);
    m_last_attempt = m_last_attempt.next();
    const auto id = m_last_attempt;
    m_spender.started(id, p.destination, now);
    update_lending(p, to.id);
    p.open_attempts.push_back(id);
    p.tried_targets.push_back(to.id);
    m_attempts[id] =
        attempt_state{{}, p.request.id, now, why == attempt_cause::hedge, {}};
    const auto usual = state_for(p.request).latency.quantile(0.5);
    m_targets.on_started(id, to.id, usual.value_or(base::duration{}), now);
    ++m_counters.attempts;
    m_counters.retries += why == attempt_cause::retry ? 1 : 0;
    m_counters.hedges += why == attempt_cause::hedge ? 1 : 0;
    out.emplace_back(open_attempt{id, p.request.id, to, p.request.deadline,
                                  p.request.kind.idempotent,
                                  plan.connections_per_target});
    return std::nullopt;
}

std::vector<base::target_id> core::preferred_targets(const pending_request& p,
                                                     const pool& at) const {
    return p.lane == lane::short_work
               ? at.lanes.preferred_for_short(at.plan)
               : at.lanes.available_for_long(at.plan, m_targets);
}

void core::update_lending(pending_request& p, const base::target_id& target) {
    auto& at = pool_for(p);
    const auto& ours = at.plan.long_targets;
    const bool away = p.lane == lane::long_work && !ours.empty() &&
                      std::find(ours.begin(), ours.end(), target) == ours.end();
    if (away != p.on_lent_slot) {
        p.on_lent_slot = away;
        away ? at.lanes.on_slot_lent() : at.lanes.on_slot_returned();
    }
}

void core::schedule_hedge(pending_request& p, base::time_point now) {
    const auto& kind = p.request.kind;
    if (!kind.idempotent || kind.hedge_percentile == 0) {
        return;
    }
    const auto& latency = state_for(p.request).latency;
    auto delay = latency.quantile(kind.hedge_percentile / 100.0);
    if (delay && kind.long_running) {
        *delay *= overdue_factor;
    }
    if (delay && now + *delay < p.request.deadline) {
        p.hedge_at = now + *delay;
        m_timers.emplace(*p.hedge_at, p.request.id, timer::hedge);
    }
}

void core::start_hedge(base::request_id id, base::time_point now,
                       effects& out) {
    auto& p = m_pending.at(id);
    p.hedge_at.reset();
    if (p.open_attempts.size() == 1 &&
        state_for(p.request).hedge_budget.try_withdraw()) {
        // Without a target for it the first attempt goes on alone.
        (void)start_attempt(p, attempt_cause::hedge, now, out);
    }
}

void core::on(const allowances_changed& e, base::time_point, effects&) {
    m_spender.set(e.allowances);
}

void core::on(const attempt_connected& e, base::time_point now, effects& out) {
    if (const auto found = m_attempts.find(e.attempt);
        found != m_attempts.end()) {
        apply_step(e.attempt, found->second.machine.on_connected(), now, out);
    }
}

void core::on(const attempt_connect_failed& e, base::time_point now,
              effects& out) {
    if (const auto found = m_attempts.find(e.attempt);
        found != m_attempts.end()) {
        apply_step(e.attempt, found->second.machine.on_connect_failed(), now,
                   out);
    }
}

void core::on(const attempt_answered& e, base::time_point now, effects& out) {
    if (const auto found = m_attempts.find(e.attempt);
        found != m_attempts.end()) {
        found->second.response_bytes = e.facts.bytes;
        apply_step(e.attempt, found->second.machine.on_response(e.facts), now,
                   out);
    }
}

void core::on(const attempt_lost& e, base::time_point now, effects& out) {
    if (const auto found = m_attempts.find(e.attempt);
        found != m_attempts.end()) {
        apply_step(e.attempt, found->second.machine.on_connection_lost(), now,
                   out);
    }
}

void core::on(const caller_gone& e, base::time_point now, effects& out) {
    end_request(e.request, reason::connection_lost, now, out);
}

void core::on(const tick&, base::time_point now, effects& out) {
    while (!m_timers.empty()) {
        const auto [when, id, which] = *m_timers.begin();
        if (when > now) {
            return;
        }
        if (which == timer::deadline) {
            end_request(id, reason::deadline_expired, now, out);
            continue;
        }
        m_timers.erase(m_timers.begin());
        if (which == timer::hedge) {
            start_hedge(id, now, out);
            continue;
        }
        auto& p = m_pending.at(id);
        m_pools_to_recheck.insert(&pool_for(p));
        schedule_recheck(p, now);
    }
}

void core::on(const stop_requested&, base::time_point, effects&) {
    m_stopping = true;
}

void core::apply_step(base::attempt_id id, attempt::step s,
                      base::time_point now, effects& out) {
    switch (s) {
    case attempt::step::nothing:
        return;
    case attempt::step::send: {
        const auto& p = m_pending.at(m_attempts.at(id).request);
        using std::chrono::milliseconds;
        const auto left =
            std::chrono::duration_cast<milliseconds>(p.request.deadline - now);
        out.emplace_back(send_attempt{id, left});
        return;
    }
    case attempt::step::forward:
        return forward(id, now, out);
    case attempt::step::fail:
        return handle_failure(id, now, out);
    }
}

void core::forward(base::attempt_id id, base::time_point now, effects& out) {
    const auto won = m_attempts.at(id);
    auto& p = m_pending.at(won.request);
    ++m_counters.forwarded;
    m_counters.hedges_won += won.is_hedge ? 1 : 0;
    if (p.lane == lane::long_work) {
        const auto usual = state_for(p.request).latency.quantile(0.5);
        pool_for(p).lanes.on_long_answered(
            now - won.started_at, usual.value_or(base::duration::max()));
    }
    if (!won.is_hedge) {
        state_for(p.request).latency.add(now - won.started_at);
    }
    m_targets.on_answered(id, now);
    out.emplace_back(forward_response{won.request, id});
    erase_attempt(id, now);
    const auto losers = p.open_attempts;
    for (const auto loser : losers) {
        if (!m_attempts.at(loser).is_hedge) {
            state_for(p.request).latency.add(now -
                                             m_attempts.at(loser).started_at);
        }
        cancel_attempt(loser, reason::deadline_expired, now, out);
    }
    erase_request(won.request, now);
}

void core::handle_failure(base::attempt_id id, base::time_point now,
                          effects& out) {
    const auto failed = m_attempts.at(id);
    const auto how = failed.machine.failure();
    if (how.reason == reason::target_shed) {
        m_targets.on_shed(id, now);
    } else {
        m_targets.on_failed(id, now);
    }
    erase_attempt(id, now);
    auto& p = m_pending.at(failed.request);
    p.may_have_run = p.may_have_run || how.outcome == outcome::unknown;
    if (!p.open_attempts.empty()) {
        return; // the other attempt decides
    }
    const bool may_retry = !p.may_have_run || p.request.kind.idempotent;
    if (may_retry && p.tried_targets.size() < max_attempts &&
        state_for(p.request).retry_budget.try_withdraw() &&
        !start_attempt(p, attempt_cause::retry, now, out)) {
        return;
    }
    refuse(failed.request, how, now, out);
}

void core::end_request(base::request_id id, reason why, base::time_point now,
                       effects& out) {
    const auto p = m_pending.find(id);
    if (p == m_pending.end()) {
        return;
    }
    const auto attempts = p->second.open_attempts;
    for (const auto a : attempts) {
        cancel_attempt(a, why, now, out);
    }
    refuse(id, {outcome::not_run, why}, now, out);
}

void core::cancel_attempt(base::attempt_id id, reason why, base::time_point now,
                          effects& out) {
    auto& a = m_attempts.at(id);
    a.machine.on_cancel(why);
    auto& p = m_pending.at(a.request);
    p.may_have_run =
        p.may_have_run || a.machine.failure().outcome == outcome::unknown;
    m_targets.on_abandoned(id, now);
    out.emplace_back(abandon_attempt{id});
    erase_attempt(id, now);
}

void core::refuse(base::request_id id, refusal r, base::time_point now,
                  effects& out) {
    const auto p = m_pending.find(id);
    if (p != m_pending.end() && p->second.may_have_run) {
        r.outcome = outcome::unknown;
    }
    ++(r.outcome == outcome::not_run ? m_counters.refused_not_run
                                     : m_counters.refused_unknown);
    out.emplace_back(refuse_request{id, r});
    erase_request(id, now);
}

void core::erase_attempt(base::attempt_id id, base::time_point now) {
    const auto found = m_attempts.find(id);
    m_spender.finished(id, found->second.response_bytes, now);
    std::erase(m_pending.at(found->second.request).open_attempts, id);
    m_attempts.erase(found);
}

void core::erase_request(base::request_id id, base::time_point now) {
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto& p = found->second;
    m_timers.erase({p.request.deadline, id, timer::deadline});
    if (p.hedge_at) {
        m_timers.erase({*p.hedge_at, id, timer::hedge});
    }
    if (p.recheck_at) {
        m_timers.erase({*p.recheck_at, id, timer::recheck});
    }
    leave_lane(p, now);
    m_pending.erase(found);
}

} // namespace pollenreel::request
