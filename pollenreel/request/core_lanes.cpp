// The part of the request core that decides who runs and who waits.
#include "pollenreel/request/core.hpp"

namespace pollenreel::request {

namespace {

// A request that waited is not started when it has less time left than this
// quantile of recent latencies takes. Higher wastes fewer slots on work that
// comes too late and refuses more that would just have made it.
constexpr double late_start = 0.9;
// How often waiting long-running work looks for room that others left idle.
constexpr base::duration recheck_period = std::chrono::seconds(1);

} // namespace

core::pool& core::pool_of(const pending& p) {
    const auto [found, is_new] =
        m_pools.try_emplace({p.request.service, p.region});
    if (is_new) {
        found->second.plan =
            make_plan(m_snapshot->services.at(p.request.service), p.region,
                      *m_snapshot, m_options.place);
    }
    return found->second;
}

void core::enter(pending& p, base::time_point now, effects& out) {
    auto& at = pool_of(p);
    if (at.lanes.line(p.lane).size() == 0 && has_room(p, at)) {
        return run(p, now, out);
    }
    wait(p, at, now, out);
}

bool core::has_room(const pending& p, const pool& at) const {
    if (p.lane == lane::of_long) {
        return !at.lanes.room_for_long(at.plan, m_book).empty();
    }
    const auto service = m_snapshot->services.find(p.request.service);
    return service == m_snapshot->services.end() ||
           at.lanes.short_has_room(at.plan, service->second.in_flight_percent);
}

void core::run(pending& p, base::time_point now, effects& out) {
    p.running = true;
    pool_of(p).lanes.started(p.lane, now);
    if (const auto r = start_attempt(p, cause::first, now, out)) {
        return refuse(p.request.id, *r, now, out);
    }
    arm_hedge(p, now);
}

void core::wait(pending& p, pool& at, base::time_point now, effects& out) {
    auto& line = at.lanes.line(p.lane);
    const auto ahead = line.ahead_of(p.request.kind.priority);
    const auto usual = state_of(p.request).latency.quantile(0.5);
    const auto ready = now + at.lanes.expected_wait(p.lane, ahead) +
                       usual.value_or(base::duration{});
    const refusal overloaded{outcome::not_run, reason::overloaded};
    if (ready > p.request.deadline) {
        ++m_counters.shed;
        return refuse(p.request.id, overloaded, now, out);
    }
    ++m_counters.queued;
    arm_recheck(p, now);
    const auto limit = m_snapshot->services.at(p.request.service).queue_limit;
    if (const auto put_out =
            line.push(p.request.id, p.request.kind.priority, limit)) {
        ++m_counters.shed;
        refuse(*put_out, overloaded, now, out);
    }
}

void core::arm_recheck(pending& p, base::time_point now) {
    if (p.lane == lane::of_long) {
        p.recheck_at = now + recheck_period;
        m_timers.emplace(*p.recheck_at, p.request.id, timer::recheck);
    }
}

void core::start_waiting(base::time_point now, effects& out) {
    while (!m_with_new_room.empty()) {
        auto& at = **m_with_new_room.begin();
        m_with_new_room.erase(m_with_new_room.begin());
        while (start_first(at, lane::of_short, now, out)) {
        }
        while (start_first(at, lane::of_long, now, out)) {
        }
    }
}

bool core::start_first(pool& at, lane l, base::time_point now, effects& out) {
    auto& line = at.lanes.line(l);
    const auto first = line.first();
    if (!first || !has_room(m_pending.at(*first), at)) {
        return false;
    }
    line.remove(*first);
    auto& p = m_pending.at(*first);
    const auto usual = state_of(p.request).latency.quantile(late_start);
    if (now + usual.value_or(base::duration{}) > p.request.deadline) {
        ++m_counters.shed;
        refuse(*first, {outcome::not_run, reason::overloaded}, now, out);
        return true;
    }
    run(p, now, out);
    return true;
}

void core::leave_lane(const pending& p, base::time_point now) {
    auto& at = pool_of(p);
    if (p.lent) {
        at.lanes.given_back();
    }
    if (p.running) {
        at.lanes.ended(p.lane, now);
    } else {
        at.lanes.line(p.lane).remove(p.request.id);
    }
    m_with_new_room.insert(&at);
}

} // namespace pollenreel::request
