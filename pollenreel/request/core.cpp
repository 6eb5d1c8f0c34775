#include "pollenreel/request/core.hpp"

#include "pollenreel/request/admit.hpp"
#include "pollenreel/request/choose_region.hpp"
#include "pollenreel/request/classify.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::request {

namespace {

// Maximum attempts of one request, including the first. More would let one
// request try target after target while the fleet is failing.
constexpr std::size_t max_attempts = 3;
// Long-running work is too expensive to hedge for tail latency. It is sent a
// second time only after this multiple of the hedging delay, which indicates a
// dead target or a connection dropped without notice. A lower factor detects
// these sooner.
constexpr int overdue_factor = 4;

} // namespace

core::core(options o)
    : m_options(o), m_snapshot(std::make_shared<routing::snapshot>()),
      m_random(o.seed) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& alternative) { on(alternative, now, out); }, e);
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
    for (auto& [key, service_pool] : m_pools) {
        const auto service = m_snapshot->services.find(key.first);
        service_pool.plan =
            service == m_snapshot->services.end()
                ? service_plan{}
                : make_service_plan(service->second, key.second, *m_snapshot,
                                    m_options.thread);
        m_pools_to_recheck.insert(&service_pool);
    }
}

void core::begin_slow_starts(const routing::snapshot& before,
                             base::time_point now) {
    for (const auto& [id, service] : m_snapshot->services) {
        for (const auto& t : service.targets) {
            m_targets.set_slow_start(t.id, service.slow_start);
        }
        const auto old = before.services.find(id);
        if (old == before.services.end()) {
            // The service is new to this thread, not necessarily to the fleet.
            continue;
        }
        for (const auto& t : service.targets) {
            const bool took_work =
                std::any_of(old->second.targets.begin(),
                            old->second.targets.end(), [&](const auto& o) {
                                return o.id == t.id && o.accepts_new_work;
                            });
            if (t.accepts_new_work && !took_work) {
                m_targets.begin_slow_start(t.id, now);
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
    auto destination =
        choose_region(request, e.bytes, *m_snapshot, m_targets, m_spender, now);
    if (const auto* r = std::get_if<refusal>(&destination)) {
        return refuse(e.id, *r, now, out);
    }
    auto& pending = m_pending[e.id];
    pending.request = request;
    pending.destination = std::get<shift::admission>(std::move(destination));
    pending.region = pending.destination.to;
    pending.arrived_at = now;
    pending.lane =
        request.kind.long_running ? lane::long_work : lane::short_work;
    m_timers.emplace(pending.request.deadline, e.id, timer::deadline);
    auto& state = state_for(pending.request);
    state.hedge_budget.deposit(pending.request.kind.hedge_budget_percent);
    state.retry_budget.deposit(pending.request.kind.retry_budget_percent);
    start_or_enqueue(pending, now, out);
}

core::kind_state& core::state_for(const classified_request& c) {
    return m_kinds[{c.service, c.kind.id}];
}

std::optional<refusal> core::start_attempt(pending_request& pending,
                                           attempt_cause cause,
                                           base::time_point now, effects& out) {
    if (now >= pending.request.deadline) {
        return refusal{outcome::not_run, reason::deadline_expired};
    }
    const auto preferred = preferred_targets(pending, pool_for(pending));
    const auto& plan = pool_for(pending).plan;
    auto chosen = choose_target(pending.request, pending.region, *m_snapshot,
                                m_options.policy, m_targets,
                                {pending.tried_targets, preferred, plan.subset,
                                 plan.connections_per_target},
                                now, m_random);
    if (const auto* r = std::get_if<refusal>(&chosen)) {
        return *r;
    }
    if (!m_spender.may_start(pending.destination, now)) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    const auto& target = std::get<chosen_target>(chosen);
    m_last_attempt = m_last_attempt.next();
    const auto id = m_last_attempt;
    m_spender.started(id, pending.destination, now);
    update_lending(pending, target.id);
    pending.open_attempts.push_back(id);
    pending.tried_targets.push_back(target.id);
    m_attempts[id] = attempt_state{
        {}, pending.request.id, now, cause == attempt_cause::hedge, {}};
    const auto typical = state_for(pending.request).latency.quantile(0.5);
    m_targets.on_started(id, target.id, typical.value_or(base::duration{}),
                         now);
    ++m_counters.attempts;
    m_counters.retries += cause == attempt_cause::retry ? 1 : 0;
    m_counters.hedges += cause == attempt_cause::hedge ? 1 : 0;
    out.emplace_back(open_attempt{
        id, pending.request.id, target, pending.request.deadline,
        pending.request.kind.idempotent, plan.connections_per_target});
    return std::nullopt;
}

std::vector<base::target_id>
core::preferred_targets(const pending_request& pending,
                        const pool& service_pool) const {
    return pending.lane == lane::short_work
               ? service_pool.lanes.preferred_for_short(service_pool.plan)
               : service_pool.lanes.available_for_long(service_pool.plan,
                                                       m_targets);
}

void core::update_lending(pending_request& pending,
                          const base::target_id& target) {
    auto& service_pool = pool_for(pending);
    const auto& long_targets = service_pool.plan.long_targets;
    const bool uses_lent_slot =
        pending.lane == lane::long_work && !long_targets.empty() &&
        std::find(long_targets.begin(), long_targets.end(), target) ==
            long_targets.end();
    if (uses_lent_slot != pending.on_lent_slot) {
        pending.on_lent_slot = uses_lent_slot;
        uses_lent_slot ? service_pool.lanes.on_slot_lent()
                       : service_pool.lanes.on_slot_returned();
    }
}

void core::schedule_hedge(pending_request& pending, base::time_point now) {
    const auto& kind = pending.request.kind;
    if (!kind.idempotent || kind.hedge_percentile == 0) {
        return;
    }
    const auto& latency = state_for(pending.request).latency;
    auto delay = latency.quantile(kind.hedge_percentile / 100.0);
    if (delay && kind.long_running) {
        *delay *= overdue_factor;
    }
    if (delay && now + *delay < pending.request.deadline) {
        pending.hedge_at = now + *delay;
        m_timers.emplace(*pending.hedge_at, pending.request.id, timer::hedge);
    }
}

void core::start_hedge(base::request_id id, base::time_point now,
                       effects& out) {
    auto& pending = m_pending.at(id);
    pending.hedge_at.reset();
    if (pending.open_attempts.size() == 1 &&
        state_for(pending.request).hedge_budget.try_withdraw()) {
        // If the hedge cannot start, the first attempt continues alone.
        (void)start_attempt(pending, attempt_cause::hedge, now, out);
    }
}

void core::on(const allowances_changed& e, base::time_point, effects&) {
    m_spender.set_allowances(e.allowances);
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
        found->second.response_bytes = e.response.bytes;
        apply_step(e.attempt, found->second.machine.on_response(e.response),
                   now, out);
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
        const auto [due, id, expired] = *m_timers.begin();
        if (due > now) {
            return;
        }
        if (expired == timer::deadline) {
            end_request(id, reason::deadline_expired, now, out);
            continue;
        }
        m_timers.erase(m_timers.begin());
        if (expired == timer::hedge) {
            start_hedge(id, now, out);
            continue;
        }
        auto& pending = m_pending.at(id);
        m_pools_to_recheck.insert(&pool_for(pending));
        schedule_recheck(pending, now);
    }
}

void core::on(const stop_requested&, base::time_point, effects&) {
    m_stopping = true;
}

void core::apply_step(base::attempt_id id, attempt::step step,
                      base::time_point now, effects& out) {
    switch (step) {
    case attempt::step::nothing:
        return;
    case attempt::step::send: {
        const auto& pending = m_pending.at(m_attempts.at(id).request);
        using std::chrono::milliseconds;
        const auto left = std::chrono::duration_cast<milliseconds>(
            pending.request.deadline - now);
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
    const auto winner = m_attempts.at(id);
    auto& pending = m_pending.at(winner.request);
    ++m_counters.forwarded;
    m_counters.hedges_won += winner.is_hedge ? 1 : 0;
    if (pending.lane == lane::long_work) {
        const auto typical = state_for(pending.request).latency.quantile(0.5);
        pool_for(pending).lanes.on_long_answered(
            now - winner.started_at, typical.value_or(base::duration::max()));
    }
    if (!winner.is_hedge) {
        state_for(pending.request).latency.add(now - winner.started_at);
    }
    m_targets.on_answered(id, now);
    out.emplace_back(forward_response{winner.request, id});
    erase_attempt(id, now);
    const auto losers = pending.open_attempts;
    for (const auto loser : losers) {
        if (!m_attempts.at(loser).is_hedge) {
            state_for(pending.request)
                .latency.add(now - m_attempts.at(loser).started_at);
        }
        cancel_attempt(loser, reason::deadline_expired, now, out);
    }
    erase_request(winner.request, now);
}

void core::handle_failure(base::attempt_id id, base::time_point now,
                          effects& out) {
    const auto failed = m_attempts.at(id);
    const auto failure = failed.machine.failure();
    if (failure.reason == reason::target_shed) {
        m_targets.on_shed(id, now);
    } else {
        m_targets.on_failed(id, now);
    }
    erase_attempt(id, now);
    auto& pending = m_pending.at(failed.request);
    pending.may_have_run =
        pending.may_have_run || failure.outcome == outcome::unknown;
    if (!pending.open_attempts.empty()) {
        return; // the other attempt may still succeed
    }
    const bool may_retry =
        !pending.may_have_run || pending.request.kind.idempotent;
    if (may_retry && pending.tried_targets.size() < max_attempts &&
        state_for(pending.request).retry_budget.try_withdraw() &&
        !start_attempt(pending, attempt_cause::retry, now, out)) {
        return;
    }
    refuse(failed.request, failure, now, out);
}

void core::end_request(base::request_id id, reason cause, base::time_point now,
                       effects& out) {
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end()) {
        return;
    }
    const auto attempts = pending->second.open_attempts;
    for (const auto a : attempts) {
        cancel_attempt(a, cause, now, out);
    }
    refuse(id, {outcome::not_run, cause}, now, out);
}

void core::cancel_attempt(base::attempt_id id, reason cause,
                          base::time_point now, effects& out) {
    auto& a = m_attempts.at(id);
    a.machine.on_cancel(cause);
    auto& pending = m_pending.at(a.request);
    pending.may_have_run =
        pending.may_have_run || a.machine.failure().outcome == outcome::unknown;
    m_targets.on_abandoned(id, now);
    out.emplace_back(abandon_attempt{id});
    erase_attempt(id, now);
}

void core::refuse(base::request_id id, refusal r, base::time_point now,
                  effects& out) {
    const auto pending = m_pending.find(id);
    if (pending != m_pending.end() && pending->second.may_have_run) {
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
    const auto& pending = found->second;
    m_timers.erase({pending.request.deadline, id, timer::deadline});
    if (pending.hedge_at) {
        m_timers.erase({*pending.hedge_at, id, timer::hedge});
    }
    if (pending.recheck_at) {
        m_timers.erase({*pending.recheck_at, id, timer::recheck});
    }
    leave_lane(pending, now);
    m_pending.erase(found);
}

} // namespace pollenreel::request
