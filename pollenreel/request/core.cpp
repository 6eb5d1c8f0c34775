#include "pollenreel/request/core.hpp"

#include "pollenreel/request/admit.hpp"
#include "pollenreel/request/choose_region.hpp"
#include "pollenreel/request/classify.hpp"

namespace pollenreel::request {

namespace {

// Attempts of one request, the first included. More would let a request walk
// through a failing fleet.
constexpr std::size_t most_attempts = 3;

} // namespace

core::core(options o)
    : m_options(o), m_snapshot(std::make_shared<routing::snapshot>()),
      m_random(o.seed) {}

effects core::handle(const event& e, base::time_point now) {
    effects out;
    std::visit([&](const auto& one) { on(one, now, out); }, e);
    return out;
}

std::optional<base::time_point> core::next_wakeup() const {
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    return m_deadlines.begin()->first;
}

std::size_t core::requests_in_flight() const {
    return m_pending.size();
}

void core::on(const snapshot_changed& e, base::time_point, effects&) {
    m_snapshot = e.snapshot;
}

void core::on(const arrival& e, base::time_point now, effects& out) {
    ++m_counters.requests;
    auto c = classify(e, *m_snapshot, now);
    if (const auto* r = std::get_if<refusal>(&c)) {
        return refuse(e.id, *r, out);
    }
    auto a = admit(std::get<classified>(std::move(c)),
                   load{m_pending.size(), m_stopping});
    if (const auto* r = std::get_if<refusal>(&a)) {
        return refuse(e.id, *r, out);
    }
    auto& p = m_pending[e.id];
    p.request = std::get<classified>(std::move(a));
    m_deadlines.emplace(p.request.deadline, e.id);
    start_attempt(p, now, out);
}

void core::start_attempt(pending& p, base::time_point now, effects& out) {
    if (now >= p.request.deadline) {
        return refuse(p.request.id,
                      {outcome::not_run, reason::deadline_expired}, out);
    }
    const auto region = choose_region(p.request, *m_snapshot);
    if (const auto* r = std::get_if<refusal>(&region)) {
        return refuse(p.request.id, *r, out);
    }
    auto chosen =
        choose_target(p.request, std::get<base::region_id>(region), *m_snapshot,
                      m_options.choose, m_book, p.tried, now, m_random);
    if (const auto* r = std::get_if<refusal>(&chosen)) {
        return refuse(p.request.id, *r, out);
    }
    const auto& to = std::get<choice>(chosen);
    m_last_attempt = m_last_attempt.next();
    p.current = m_last_attempt;
    p.tried.push_back(to.target);
    m_open[p.current] = open{{}, p.request.id, now};
    const auto usual = m_usual[p.request.kind.id].quantile(0.5);
    m_book.started(p.current, to.target, usual.value_or(base::duration{}), now);
    ++m_counters.attempts;
    out.emplace_back(
        open_attempt{p.current, p.request.id, to, p.request.deadline});
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
    cancel(e.request, reason::connection_lost, now, out);
}

void core::on(const tick&, base::time_point now, effects& out) {
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        cancel(id, reason::deadline_expired, now, out);
    }
}

void core::on(const stop_requested&, base::time_point, effects&) {
    m_stopping = true;
}

void core::after_step(base::attempt_id id, attempt::step s,
                      base::time_point now, effects& out) {
    auto& a = m_open.at(id);
    switch (s) {
    case attempt::step::nothing:
        return;
    case attempt::step::send: {
        const auto left = m_pending.at(a.request).request.deadline - now;
        using std::chrono::milliseconds;
        out.emplace_back(
            send_attempt{id, std::chrono::duration_cast<milliseconds>(left)});
        return;
    }
    case attempt::step::forward: {
        const auto request = a.request;
        ++m_counters.forwarded;
        m_usual[m_pending.at(request).request.kind.id].add(now - a.since);
        m_book.answered(id, now);
        out.emplace_back(forward_answer{request, id});
        forget_attempt(id);
        forget_request(request);
        return;
    }
    case attempt::step::fail: {
        auto failed = a;
        if (a.machine.failure().reason == reason::target_shed) {
            m_book.shed(id, now);
        } else {
            m_book.failed(id, now);
        }
        forget_attempt(id);
        return after_failure(failed, now, out);
    }
    }
}

void core::after_failure(open& failed, base::time_point now, effects& out) {
    auto& p = m_pending.at(failed.request);
    const auto& how = failed.machine.failure();
    const bool may_retry =
        how.outcome == outcome::not_run || p.request.kind.idempotent;
    if (!may_retry || p.tried.size() >= most_attempts) {
        return refuse(failed.request, how, out);
    }
    start_attempt(p, now, out);
}

void core::cancel(base::request_id id, reason why, base::time_point now,
                  effects& out) {
    const auto p = m_pending.find(id);
    if (p == m_pending.end()) {
        return;
    }
    const auto attempt = p->second.current;
    auto& machine = m_open.at(attempt).machine;
    machine.on_cancel(why);
    const auto failure = machine.failure();
    m_book.abandoned(attempt, now);
    out.emplace_back(abandon_attempt{attempt});
    forget_attempt(attempt);
    refuse(id, failure, out);
}

void core::refuse(base::request_id id, refusal r, effects& out) {
    ++(r.outcome == outcome::not_run ? m_counters.refused_not_run
                                     : m_counters.refused_unknown);
    out.emplace_back(refuse_request{id, r});
    forget_request(id);
}

void core::forget_attempt(base::attempt_id id) {
    m_open.erase(id);
}

void core::forget_request(base::request_id id) {
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto [first, last] =
        m_deadlines.equal_range(found->second.request.deadline);
    for (auto it = first; it != last; ++it) {
        if (it->second == id) {
            m_deadlines.erase(it);
            break;
        }
    }
    m_pending.erase(found);
}

} // namespace pollenreel::request
