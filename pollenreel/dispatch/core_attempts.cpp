// Handling of single attempts in dispatch::core.
#include "pollenreel/dispatch/admission.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/dispatch/internal/default_retry_after.hpp"

#include <algorithm>

namespace pollenreel::dispatch {

namespace {

using internal::default_retry_after;
using request::outcome;
using request::reason;
using std::chrono::milliseconds;

// Limit on attempts of one request that fail before anything is sent.
constexpr std::uint32_t max_failed_connects = 4;
// A hedge is sent once an attempt takes longer than this quantile of similar
// requests.
constexpr double hedge_quantile = 0.95;
constexpr unsigned first_server_error = 500;

} // namespace

void core::schedule_hedge(pending_request& pending, base::time_point now) {
    if (!pending.route->idempotent || pending.route->max_attempts < 2) {
        return;
    }
    const auto usual = profile_for(pending).quantile(hedge_quantile);
    const auto delay =
        std::max<base::duration>(pending.route->target_latency / 2,
                                 usual.value_or(pending.route->target_latency));
    pending.hedge_at = now + delay;
    if (*pending.hedge_at < pending.expires_at) {
        m_timers.emplace(*pending.hedge_at, pending.id, timer::hedge);
    }
}

std::uint32_t core::connecting_attempts(const pending_request& pending) const {
    return static_cast<std::uint32_t>(std::count_if(
        pending.open_attempts.begin(), pending.open_attempts.end(),
        [&](base::attempt_id id) {
            return m_open_attempts.at(id).machine.current_phase() ==
                   request::attempt::phase::connecting;
        }));
}

bool core::try_another_attempt(pending_request& pending, attempt_cause cause,
                               base::time_point now, effects& out) {
    const bool safe = pending.route->idempotent || !pending.may_have_run;
    // Those that are connecting will be sent.
    const auto attempts = pending.sent_attempts + connecting_attempts(pending);
    if (!safe || attempts >= pending.route->max_attempts ||
        pending.failed_connects >= max_failed_connects ||
        now >= pending.expires_at || !m_view || !m_view->routes) {
        return false;
    }
    const auto choice = choose_placement(pending, cause, now);
    const auto& best = choice.best;
    if (!best && pending.needs_room && choice.shortest_wait) {
        pending.room_after = choice.shortest_wait;
    }
    if (!best || (cause == attempt_cause::hedge &&
                  best->wait > base::duration::zero())) {
        return false;
    }
    if (!worth_sending(best->expected, pending.expires_at - now)) {
        return false;
    }
    // An attempt that was never sent reached no target, so another one does not
    // count as a repeat.
    if (attempts > 0 &&
        !budget_for(pending.service).try_spend(sharing_instances(), now)) {
        return false;
    }
    start_attempt(pending, choice, cause, now, out);
    return true;
}

void core::start_attempt(pending_request& pending,
                         const placement_choice& choice, attempt_cause cause,
                         base::time_point now, effects& out) {
    const auto& best = *choice.best;
    m_last_attempt = m_last_attempt.next();
    const auto id = m_last_attempt;
    auto& state = m_target_states[best.target->id];
    request::open_attempt opening;
    opening.attempt = id;
    opening.request = pending.id;
    opening.target = {best.target->id, best.target->address};
    opening.deadline = pending.expires_at;
    opening.idempotent = pending.route->idempotent;
    opening.max_connections = connections_at(*best.target, state, now);
    opening.close_surplus = m_options.limits.hold_connections;
    choose_check(opening, *best.target, state, now);
    choice_record record{
        pending.route->id,
        pending.service,
        best.target->id,
        cause,
        best,
        choice.candidates,
        share_for(pending.service).abroad(),
        state.load_age(now),
        state.in_flight(),
        budget_for(pending.service).remaining(sharing_instances(), now),
        pending.expires_at - now,
        tenant_name(pending),
        best.target->failure_domain};
    m_open_attempts[id] = {{},
                           pending.id,
                           best.target->id,
                           best.target->incarnation,
                           now,
                           best.kind,
                           best.wait > base::duration::zero(),
                           state.slowdown(now),
                           false,
                           opening.check_path.empty()};
    state.on_attempt_started(now);
    pending.open_attempts.push_back(id);
    pending.tried.push_back(best.target->id);
    ++m_counters.attempts;
    m_counters.repeats += cause == attempt_cause::repeat ? 1 : 0;
    m_counters.hedges += cause == attempt_cause::hedge ? 1 : 0;
    out.emplace_back(open_attempt{
        opening,
        std::move(record),
        {pending.table->source().tenants.has_value(), tenant_name(pending)}});
}

void core::on(const request::attempt_connected& e, base::time_point now,
              effects& out) {
    const auto found = m_open_attempts.find(e.attempt);
    if (found == m_open_attempts.end()) {
        return;
    }
    if (e.is_new) {
        note_opened(found->second, now);
    }
    if (e.check) {
        note_check(found->second, *e.check, now, out);
    }
    if (!is_usable(found->second, now)) {
        out.emplace_back(request::abandon_attempt{e.attempt});
        found->second.machine.on_connect_failed();
        return handle_failed_attempt(e.attempt, attempt_result::cancelled, now,
                                     out);
    }
    if (found->second.machine.on_connected() != request::attempt::step::send) {
        return;
    }
    auto& pending = m_pending.at(found->second.request);
    ++pending.sent_attempts;
    found->second.sent = true;
    m_target_states.at(found->second.target)
        .on_sent(found->second.started_at, now);
    report_cold_use(found->second, e.attempt, now, out);
    out.emplace_back(request::send_attempt{
        e.attempt,
        std::chrono::duration_cast<milliseconds>(pending.expires_at - now)});
}

void core::note_misaddressed(const base::target_id& target,
                             const base::service_id& service) {
    const auto known =
        std::find_if(m_view->targets.begin(), m_view->targets.end(),
                     [&](const auto& t) { return t.id == target; });
    if (known != m_view->targets.end()) {
        m_misaddressed[target] = {known->incarnation, known->address};
        std::erase_if(m_targets_by_service[service],
                      [&](const auto* t) { return t->id == target; });
    }
}

void core::report_cold_use(const ongoing_attempt& a, base::attempt_id id,
                           base::time_point now, effects& out) const {
    const auto* t = find_target(a);
    const auto& state = m_target_states.at(a.target);
    const auto until =
        t == nullptr
            ? now
            : state.cold_until(t->cold_until, m_options.max_report_age);
    if (until > now) {
        out.emplace_back(cold_target_used{
            a.request, id, a.target, until - now, state.sent_last_second(now),
            cold_quota_at(*t, now), now - a.started_at});
    }
}

const fleet::target* core::find_target(const ongoing_attempt& a) const {
    const auto targets =
        m_targets_by_service.find(m_pending.at(a.request).service);
    if (targets == m_targets_by_service.end()) {
        return nullptr;
    }
    const auto found = std::find_if(
        targets->second.begin(), targets->second.end(), [&](const auto* t) {
            return t->id == a.target && t->incarnation == a.incarnation;
        });
    return found == targets->second.end() ? nullptr : *found;
}

bool core::is_usable(const ongoing_attempt& a, base::time_point now) const {
    const auto* target = find_target(a);
    const auto& state = m_target_states.at(a.target);
    // The attempt itself is among those of the last second.
    const auto others =
        std::max<std::size_t>(1, state.sent_last_second(now)) - 1;
    if (target == nullptr || state.backs_off_until(a.incarnation, now)) {
        return false;
    }
    return a.check_refused
               ? others < cold_quota_at(*target, now)
               : !is_cold_quota_exhausted(*target, state, others, now);
}

void core::on(const request::attempt_connect_failed& e, base::time_point now,
              effects& out) {
    const auto found = m_open_attempts.find(e.attempt);
    if (found == m_open_attempts.end()) {
        return;
    }
    ++m_pending.at(found->second.request).failed_connects;
    found->second.machine.on_connect_failed();
    handle_failed_attempt(e.attempt, attempt_result::connect_failed, now, out);
}

void core::on(const request::attempt_lost& e, base::time_point now,
              effects& out) {
    const auto found = m_open_attempts.find(e.attempt);
    if (found == m_open_attempts.end()) {
        return;
    }
    found->second.machine.on_connection_lost();
    handle_failed_attempt(e.attempt, attempt_result::lost, now, out);
}

void core::on(const request::attempt_answered& e, base::time_point now,
              effects& out) {
    const auto found = m_open_attempts.find(e.attempt);
    if (found == m_open_attempts.end()) {
        return;
    }
    auto& attempt = found->second;
    auto& pending = m_pending.at(attempt.request);
    const auto target = attempt.target;
    const auto incarnation = attempt.incarnation;
    const auto started_at = attempt.started_at;
    if (e.response.wrong_target) {
        note_misaddressed(target, pending.service);
    } else if (e.response.id_matches) {
        note_target(attempt, e.response, now, out);
    }
    const auto step = attempt.machine.on_response(e.response);
    const bool forwarded = step == request::attempt::step::forward;
    const bool server_error = e.response.status >= first_server_error;
    auto result = attempt_result::answered;
    if (!forwarded) {
        result = e.response.shed ? attempt_result::shed : attempt_result::lost;
    } else if (server_error) {
        result = attempt_result::server_error;
    }
    const bool shed = result == attempt_result::shed;
    pending.needs_room =
        pending.needs_room || (shed && m_options.limits.repeat_to_room);
    if (shed && m_options.limits.avoid_full) {
        note_full_target(target, e.response.load, now);
    }
    if (result == attempt_result::answered && !attempt.queued) {
        const auto scaled = std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(now - attempt.started_at) /
            attempt.slowdown);
        profile_for(pending).add(attempt.kind, scaled);
    }
    if (result == attempt_result::answered) {
        m_target_states[target].objects().add(pending.object_hash, now);
    }
    if (!forwarded) {
        handle_failed_attempt(e.attempt, result, now, out);
    } else if (server_error && pending.route->idempotent &&
               pending.open_attempts.size() == 1) {
        close_attempt(e.attempt, result, now);
        pending.may_have_run = true;
        if (try_another_attempt(pending, attempt_cause::repeat, now, out)) {
            out.emplace_back(
                attempt_failed{pending.id,
                               e.attempt,
                               target,
                               {outcome::unknown, reason::target_error},
                               now - started_at});
        } else {
            forward(e.attempt, pending, now, out);
        }
    } else {
        close_attempt(e.attempt, result, now);
        forward(e.attempt, pending, now, out);
    }
    if (e.response.load) {
        // Other instances cannot tell a report that is not of this target.
        const bool is_of_target =
            !e.response.wrong_target && e.response.id_matches;
        note_load(target, incarnation, *e.response.load, is_of_target, now);
    }
}

void core::note_target(const ongoing_attempt& a,
                       const request::response_info& r, base::time_point now,
                       effects& out) {
    if (r.departing && m_departing.add(a.target, a.incarnation, now)) {
        std::erase_if(m_targets_by_service[m_pending.at(a.request).service],
                      [&](const auto* t) { return m_departing.contains(*t); });
        out.emplace_back(target_departing{a.request, a.target});
    }
    if (r.back_off) {
        m_target_states[a.target].back_off(a.incarnation, now + *r.back_off);
        out.emplace_back(target_backed_off{a.request, a.target, *r.back_off});
    }
    auto& state = m_target_states[a.target];
    // A refusal may come before the target knows the request, or its own state.
    const bool ends_limit = !r.rate_limit && r.echoes_id && !r.shed &&
                            state.on_no_limit(a.incarnation, a.started_at);
    if (ends_limit ||
        (r.rate_limit && state.on_limit(a.incarnation, *r.rate_limit, now))) {
        out.emplace_back(
            target_limit_changed{a.request, a.target, r.rate_limit});
    }
}

void core::note_full_target(const base::target_id& target,
                            const std::optional<request::target_load>& load,
                            base::time_point now) {
    const auto known =
        std::find_if(m_view->targets.begin(), m_view->targets.end(),
                     [&](const auto& t) { return t.id == target; });
    if (known != m_view->targets.end()) {
        m_target_states[target].on_refused_as_full(load, known->slots, now);
    }
}

void core::forward(base::attempt_id id, pending_request& pending,
                   base::time_point now, effects& out) {
    abandon_open_attempts(pending, now, out);
    m_last_answer_late =
        now - pending.arrived_at > pending.route->target_latency;
    m_counters.late += m_last_answer_late ? 1 : 0;
    ++m_counters.forwarded;
    const auto request = pending.id;
    out.emplace_back(request::forward_response{request, id});
    remove_request(request);
}

void core::handle_failed_attempt(base::attempt_id id, attempt_result result,
                                 base::time_point now, effects& out) {
    const auto attempt = m_open_attempts.at(id);
    const auto failure = attempt.machine.failure();
    auto& pending = m_pending.at(attempt.request);
    pending.may_have_run =
        pending.may_have_run || failure.outcome == outcome::unknown;
    close_attempt(id, result, now);
    out.emplace_back(attempt_failed{pending.id, id, attempt.target, failure,
                                    now - attempt.started_at});
    if (!pending.open_attempts.empty() ||
        try_another_attempt(pending, attempt_cause::repeat, now, out)) {
        return;
    }
    const auto final_outcome =
        pending.may_have_run ? outcome::unknown : outcome::not_run;
    refuse_request(pending.id, {final_outcome, failure.reason}, {},
                   pending.may_have_run
                       ? std::nullopt
                       : std::optional(retry_delay_after_failure(pending)),
                   now, out);
}

milliseconds core::retry_delay_after_failure(const pending_request& pending) {
    return std::max(default_retry_after,
                    std::chrono::duration_cast<milliseconds>(
                        pending.room_after.value_or(base::duration::zero())));
}

void core::measure_wait(const ongoing_attempt& a, attempt_result result,
                        base::time_point now) {
    if (!m_options.limits.spill_by_wait) {
        return;
    }
    const auto& pending = m_pending.at(a.request);
    const double latencies =
        std::chrono::duration<double>(now - a.started_at) /
        std::chrono::duration<double>(pending.route->target_latency);
    auto& waits = m_region_waits[pending.service];
    if (result == attempt_result::answered) {
        waits.add(a.kind.abroad, latencies, now);
    } else if (result == attempt_result::cancelled) {
        waits.add_unanswered(a.kind.abroad, latencies, now);
    }
}

void core::close_attempt(base::attempt_id id, attempt_result result,
                         base::time_point now) {
    const auto found = m_open_attempts.find(id);
    measure_wait(found->second, result, now);
    auto& state = m_target_states[found->second.target];
    if (!found->second.sent) {
        state.on_not_sent(found->second.started_at);
    }
    state.on_attempt_ended(state.is_former(found->second.incarnation)
                               ? attempt_result::cancelled
                               : result,
                           found->second.started_at, now);
    std::erase(m_pending.at(found->second.request).open_attempts, id);
    m_open_attempts.erase(found);
}

void core::abandon_open_attempts(pending_request& pending, base::time_point now,
                                 effects& out) {
    const auto all = pending.open_attempts;
    for (const auto id : all) {
        const bool sent = m_open_attempts.at(id).machine.current_phase() ==
                          request::attempt::phase::sent;
        pending.may_have_run = pending.may_have_run || sent;
        close_attempt(id, attempt_result::cancelled, now);
        out.emplace_back(request::abandon_attempt{id});
    }
}

} // namespace pollenreel::dispatch
