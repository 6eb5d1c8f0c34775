// The part of the request core that decides who runs and who waits.
#include "pollenreel/request/core.hpp"

namespace pollenreel::request {

namespace {

// A request that waited is not started when it has less time left than this
// quantile of recent latencies takes. Higher wastes fewer slots on work that
// comes too late and refuses more that would just have made it.
constexpr double start_quantile = 0.9;
// How often waiting long-running work looks for room that others left idle.
constexpr base::duration recheck_period = std::chrono::seconds(1);

} // namespace

core::pool& core::pool_for(const pending_request& p) {
    const auto [found, is_new] =
        m_pools.try_emplace({p.request.service, p.region});
    if (is_new) {
        found->second.plan =
            make_service_plan(m_snapshot->services.at(p.request.service),
                              p.region, *m_snapshot, m_options.thread);
    }
    return found->second;
}

void core::start_or_enqueue(pending_request& p, base::time_point now,
                            effects& out) {
    auto& at = pool_for(p);
    if (at.lanes.queue(p.lane).size() == 0 && has_capacity(p, at)) {
        return start(p, now, out);
    }
    enqueue(p, at, now, out);
}

bool core::has_capacity(const pending_request& p, const pool& at) const {
    if (p.lane == lane::long_work) {
        return !at.lanes.available_for_long(at.plan, m_targets).empty();
    }
    const auto service = m_snapshot->services.find(p.request.service);
    return service == m_snapshot->services.end() ||
           at.lanes.has_short_capacity(at.plan,
                                       service->second.in_flight_percent);
}

void core::start(pending_request& p, base::time_point now, effects& out) {
    p.running = true;
    pool_for(p).lanes.on_started(p.lane, now);
    if (const auto r = start_attempt(p, attempt_cause::first, now, out)) {
        return refuse(p.request.id, *r, now, out);
    }
    schedule_hedge(p, now);
}

void core::enqueue(pending_request& p, pool& at, base::time_point now,
                   effects& out) {
    auto& line = at.lanes.queue(p.lane);
    const auto ahead = line.count_ahead(p.request.kind.priority);
    const auto usual = state_for(p.request).latency.quantile(0.5);
    const auto ready = now + at.lanes.expected_wait(p.lane, ahead) +
                       usual.value_or(base::duration{});
    const refusal overloaded{outcome::not_run, reason::overloaded};
    if (ready > p.request.deadline) {
        ++m_counters.shed;
        return refuse(p.request.id, overloaded, now, out);
    }
    ++m_counters.queued;
    schedule_recheck(p, now);
    const auto limit = m_snapshot->services.at(p.request.service).queue_limit;
    if (const auto put_out =
            line.push(p.request.id, p.request.kind.priority, limit)) {
        ++m_counters.shed;
        refuse(*put_out, overloaded, now, out);
    }
}

void core::schedule_recheck(pending_request& p, base::time_point now) {
    if (p.lane == lane::long_work) {
        p.recheck_at = now + recheck_period;
        m_timers.emplace(*p.recheck_at, p.request.id, timer::recheck);
    }
}

void core::start_queued(base::time_point now, effects& out) {
    while (!m_pools_to_recheck.empty()) {
        auto& at = **m_pools_to_recheck.begin();
        m_pools_to_recheck.erase(m_pools_to_recheck.begin());
        while (start_next(at, lane::short_work, now, out)) {
        }
        while (start_next(at, lane::long_work, now, out)) {
        }
    }
}

bool core::start_next(pool& at, lane l, base::time_point now, effects& out) {
    auto& line = at.lanes.queue(l);
    const auto first = line.front();
    if (!first || !has_capacity(m_pending.at(*first), at)) {
        return false;
    }
    line.remove(*first);
    auto& p = m_pending.at(*first);
    const auto usual = state_for(p.request).latency.quantile(start_quantile);
    if (now + usual.value_or(base::duration{}) > p.request.deadline) {
        ++m_counters.shed;
        refuse(*first, {outcome::not_run, reason::overloaded}, now, out);
        return true;
    }
    start(p, now, out);
    return true;
}

void core::leave_lane(const pending_request& p, base::time_point now) {
    auto& at = pool_for(p);
    if (p.on_lent_slot) {
        at.lanes.on_slot_returned();
    }
    if (p.running) {
        at.lanes.on_ended(p.lane, now);
    } else {
        at.lanes.queue(p.lane).remove(p.request.id);
    }
    m_pools_to_recheck.insert(&at);
}

} // namespace pollenreel::request
