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
constexpr std::size_t most_attempts = 3;
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
    start_waiting(now, out);
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
                      : make_plan(service->second, key.second, *m_snapshot,
                                  m_options.place);
        m_with_new_room.insert(&at);
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
                m_book.begin_slow_start(t.id, service.slow_start, now);
            }
        }
    }
}

void core::on(const arrival& e, base::time_point now, effects& out) {
    ++m_counters.requests;
    auto c = classify(e, *m_snapshot, now);
    if (const auto* r = std::get_if<refusal>(&c)) {
        return refuse(e.id, *r, now, out);
    }
    auto a = admit(std::get<classified>(std::move(c)),
                   load{m_pending.size(), m_stopping});
    if (const auto* r = std::get_if<refusal>(&a)) {
        return refuse(e.id, *r, now, out);
    }
    const auto& request = std::get<classified>(a);
    auto way =
        choose_region(request, e.bytes, *m_snapshot, m_book, m_spender, now);
    if (const auto* r = std::get_if<refusal>(&way)) {
        return refuse(e.id, *r, now, out);
    }
    auto& p = m_pending[e.id];
    p.request = request;
    p.way = std::get<shift::admission>(std::move(way));
    p.region = p.way.to;
    p.arrived = now;
    p.lane = request.kind.long_running ? lane::of_long : lane::of_short;
    m_timers.emplace(p.request.deadline, e.id, timer::deadline);
    auto& state = state_of(p.request);
    state.hedges.earn(p.request.kind.hedge_budget_percent);
    state.retries.earn(p.request.kind.retry_budget_percent);
    enter(p, now, out);
}

core::kind_state& core::state_of(const classified& c) {
    return m_kinds[{c.service, c.kind.id}];
}

std::optional<refusal> core::start_attempt(pending& p, cause why,
                                           base::time_point now, effects& out) {
    if (now >= p.request.deadline) {
        return refusal{outcome::not_run, reason::deadline_expired};
    }
    const auto wanted = preferred(p, pool_of(p));
    const auto& plan = pool_of(p).plan;
    auto chosen = choose_target(
        p.request, p.region, *m_snapshot, m_options.choose, m_book,
        {p.tried, wanted, plan.subset, plan.connections_per_target}, now,
        m_random);
    if (const auto* r = std::get_if<refusal>(&chosen)) {
        return *r;
    }
    if (!m_spender.may_start(p.way, now)) {
        return refusal{outcome::not_run, reason::overloaded};
    }
    const auto& to = std::get<choice>(chosen);
    m_last_attempt = m_last_attempt.next();
    const auto id = m_last_attempt;
    m_spender.started(id, p.way, now);
    note_place(p, to.target);
    p.open.push_back(id);
    p.tried.push_back(to.target);
    m_open[id] = open{{}, p.request.id, now, why == cause::hedge, {}};
    const auto usual = state_of(p.request).latency.quantile(0.5);
    m_book.started(id, to.target, usual.value_or(base::duration{}), now);
    ++m_counters.attempts;
    m_counters.retries += why == cause::retry ? 1 : 0;
    m_counters.hedges += why == cause::hedge ? 1 : 0;
    out.emplace_back(open_attempt{id, p.request.id, to, p.request.deadline,
                                  p.request.kind.idempotent,
                                  plan.connections_per_target});
    return std::nullopt;
}

std::vector<base::target_id> core::preferred(const pending& p,
                                             const pool& at) const {
    return p.lane == lane::of_short ? at.lanes.preferred_by_short(at.plan)
                                    : at.lanes.room_for_long(at.plan, m_book);
}

void core::note_place(pending& p, const base::target_id& target) {
    auto& at = pool_of(p);
    const auto& ours = at.plan.long_targets;
    const bool away = p.lane == lane::of_long && !ours.empty() &&
                      std::find(ours.begin(), ours.end(), target) == ours.end();
    if (away != p.lent) {
        p.lent = away;
        away ? at.lanes.lent() : at.lanes.given_back();
    }
}

void core::arm_hedge(pending& p, base::time_point now) {
    const auto& kind = p.request.kind;
    if (!kind.idempotent || kind.hedge_percentile == 0) {
        return;
    }
    const auto& latency = state_of(p.request).latency;
    auto delay = latency.quantile(kind.hedge_percentile / 100.0);
    if (delay && kind.long_running) {
        *delay *= overdue_factor;
    }
    if (delay && now + *delay < p.request.deadline) {
        p.hedge_at = now + *delay;
        m_timers.emplace(*p.hedge_at, p.request.id, timer::hedge);
    }
}

void core::hedge(base::request_id id, base::time_point now, effects& out) {
    auto& p = m_pending.at(id);
    p.hedge_at.reset();
    if (p.open.size() == 1 && state_of(p.request).hedges.spend()) {
        // Without a target for it the first attempt goes on alone.
        (void)start_attempt(p, cause::hedge, now, out);
    }
}

void core::on(const allowances_changed& e, base::time_point, effects&) {
    m_spender.set_allowances(e.allowances);
}

void core::on(const attempt_connected& e, base::time_point now, effects& out) {
    if (const auto found = m_open.find(e.attempt); found != m_open.end()) {
        after_step(e.attempt, found->second.machine.on_connected(), now, out);
    }
}

void core::on(const attempt_connect_failed& e, base::time_point now,
              effects& out) {
    if (const auto found = m_open.find(e.attempt); found != m_open.end()) {
        after_step(e.attempt, found->second.machine.on_connect_failed(), now,
                   out);
    }
}

void core::on(const attempt_answered& e, base::time_point now, effects& out) {
    if (const auto found = m_open.find(e.attempt); found != m_open.end()) {
        found->second.answer_bytes = e.facts.bytes;
        after_step(e.attempt, found->second.machine.on_answer(e.facts), now,
                   out);
    }
}

void core::on(const attempt_lost& e, base::time_point now, effects& out) {
    if (const auto found = m_open.find(e.attempt); found != m_open.end()) {
        after_step(e.attempt, found->second.machine.on_lost(), now, out);
    }
}

void core::on(const caller_gone& e, base::time_point now, effects& out) {
    end(e.request, reason::connection_lost, now, out);
}

void core::on(const tick&, base::time_point now, effects& out) {
    while (!m_timers.empty()) {
        const auto [when, id, which] = *m_timers.begin();
        if (when > now) {
            return;
        }
        if (which == timer::deadline) {
            end(id, reason::deadline_expired, now, out);
            continue;
        }
        m_timers.erase(m_timers.begin());
        if (which == timer::hedge) {
            hedge(id, now, out);
            continue;
        }
        auto& p = m_pending.at(id);
        m_with_new_room.insert(&pool_of(p));
        arm_recheck(p, now);
    }
}

void core::on(const stop_requested&, base::time_point, effects&) {
    m_stopping = true;
}

void core::after_step(base::attempt_id id, attempt::step s,
                      base::time_point now, effects& out) {
    switch (s) {
    case attempt::step::nothing:
        return;
    case attempt::step::send: {
        const auto& p = m_pending.at(m_open.at(id).request);
        using std::chrono::milliseconds;
        const auto left =
            std::chrono::duration_cast<milliseconds>(p.request.deadline - now);
        out.emplace_back(send_attempt{id, left});
        return;
    }
    case attempt::step::forward:
        return forward(id, now, out);
    case attempt::step::fail:
        return after_failure(id, now, out);
    }
}

void core::forward(base::attempt_id id, base::time_point now, effects& out) {
    const auto won = m_open.at(id);
    auto& p = m_pending.at(won.request);
    ++m_counters.forwarded;
    m_counters.hedges_won += won.hedge ? 1 : 0;
    if (p.lane == lane::of_long) {
        const auto usual = state_of(p.request).latency.quantile(0.5);
        pool_of(p).lanes.long_answered(now - won.since,
                                       usual.value_or(base::duration::max()));
    }
    if (!won.hedge) {
        state_of(p.request).latency.add(now - won.since);
    }
    m_book.answered(id, now);
    out.emplace_back(forward_answer{won.request, id});
    forget_attempt(id, now);
    const auto losers = p.open;
    for (const auto loser : losers) {
        if (!m_open.at(loser).hedge) {
            state_of(p.request).latency.add(now - m_open.at(loser).since);
        }
        abandon(loser, reason::deadline_expired, now, out);
    }
    forget_request(won.request, now);
}

void core::after_failure(base::attempt_id id, base::time_point now,
                         effects& out) {
    const auto failed = m_open.at(id);
    const auto how = failed.machine.failure();
    if (how.reason == reason::target_shed) {
        m_book.shed(id, now);
    } else {
        m_book.failed(id, now);
    }
    forget_attempt(id, now);
    auto& p = m_pending.at(failed.request);
    p.may_have_run = p.may_have_run || how.outcome == outcome::unknown;
    if (!p.open.empty()) {
        return; // the other attempt decides
    }
    const bool may_retry = !p.may_have_run || p.request.kind.idempotent;
    if (may_retry && p.tried.size() < most_attempts &&
        state_of(p.request).retries.spend() &&
        !start_attempt(p, cause::retry, now, out)) {
        return;
    }
    refuse(failed.request, how, now, out);
}

void core::end(base::request_id id, reason why, base::time_point now,
               effects& out) {
    const auto p = m_pending.find(id);
    if (p == m_pending.end()) {
        return;
    }
    const auto attempts = p->second.open;
    for (const auto a : attempts) {
        abandon(a, why, now, out);
    }
    refuse(id, {outcome::not_run, why}, now, out);
}

void core::abandon(base::attempt_id id, reason why, base::time_point now,
                   effects& out) {
    auto& a = m_open.at(id);
    a.machine.on_cancel(why);
    auto& p = m_pending.at(a.request);
    p.may_have_run =
        p.may_have_run || a.machine.failure().outcome == outcome::unknown;
    m_book.abandoned(id, now);
    out.emplace_back(abandon_attempt{id});
    forget_attempt(id, now);
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
    forget_request(id, now);
}

void core::forget_attempt(base::attempt_id id, base::time_point now) {
    const auto found = m_open.find(id);
    m_spender.finished(id, found->second.answer_bytes, now);
    std::erase(m_pending.at(found->second.request).open, id);
    m_open.erase(found);
}

void core::forget_request(base::request_id id, base::time_point now) {
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
