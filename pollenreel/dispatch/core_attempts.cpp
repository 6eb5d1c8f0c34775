// The attempts of dispatch::core: begun, answered, failed, repeated, hedged.
#include "pollenreel/dispatch/admission.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/dispatch/internal/retry_soon.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using internal::retry_soon;
using request::outcome;
using request::reason;
using std::chrono::milliseconds;

// Attempts of one request that fail before anything is sent.
constexpr std::uint32_t most_connects = 4;
// A hedge is sent once an attempt takes longer than this share of its kind.
constexpr double hedge_quantile = 0.95;
constexpr unsigned first_server_error = 500;

} // namespace

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
    o.target = {at.target->id, at.target->address};
    o.deadline = p.expires;
    o.idempotent = p.route->idempotent;
    o.max_connections = std::max<std::uint32_t>(
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
    found->second.machine.on_connection_lost();
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
    if (e.response.wrong_target) {
        const auto known =
            std::find_if(m_view->targets.begin(), m_view->targets.end(),
                         [&](const auto& t) { return t.id == target; });
        if (known != m_view->targets.end()) {
            m_misplaced[target] = {known->incarnation, known->address};
            std::erase_if(m_by_service[p.service],
                          [&](const auto* t) { return t->id == target; });
        }
    }
    const auto step = o.machine.on_response(e.response);
    const bool forwarded = step == request::attempt::step::forward;
    const bool server_error = e.response.status >= first_server_error;
    auto result = attempt_result::answered;
    if (!forwarded) {
        result = e.response.shed ? attempt_result::shed : attempt_result::lost;
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
    if (e.response.load) {
        m_states[target].told(*e.response.load, now);
    }
}

void core::forward(base::attempt_id id, pending& p, base::time_point now,
                   effects& out) {
    abandon_all(p, now, out);
    m_last_was_late = now - p.arrived > p.route->target_latency;
    m_counters.late += m_last_was_late ? 1 : 0;
    ++m_counters.forwarded;
    const auto request = p.id;
    out.emplace_back(request::forward_response{request, id});
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
        const bool sent = m_open.at(id).machine.current_phase() ==
                          request::attempt::phase::sent;
        p.may_have_run = p.may_have_run || sent;
        close_attempt(id, attempt_result::cancelled, now);
        out.emplace_back(request::abandon_attempt{id});
    }
}

} // namespace pollenreel::dispatch
