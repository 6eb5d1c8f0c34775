// Admission of requests to the lanes: which of them start and which are queued.
#include "pollenreel/request/core.hpp"

namespace pollenreel::request {

namespace {

// A queued request is refused instead of started when less time is left than
// this quantile of recent latencies. A higher quantile wastes fewer slots on
// work that misses its deadline, and refuses more that would just have met it.
constexpr double start_quantile = 0.9;
// How often queued long-running work checks for slots that others leave idle.
constexpr base::duration recheck_period = std::chrono::seconds(1);

} // namespace

core::pool& core::pool_for(const pending_request& pending) {
    const auto [found, is_new] =
        m_pools.try_emplace({pending.request.service, pending.region});
    if (is_new) {
        found->second.plan =
            make_service_plan(m_snapshot->services.at(pending.request.service),
                              pending.region, *m_snapshot, m_options.thread);
    }
    return found->second;
}

void core::start_or_enqueue(pending_request& pending, base::time_point now,
                            effects& out) {
    auto& service_pool = pool_for(pending);
    if (service_pool.lanes.queue(pending.lane).size() == 0 &&
        has_capacity(pending, service_pool)) {
        return start(pending, now, out);
    }
    enqueue(pending, service_pool, now, out);
}

bool core::has_capacity(const pending_request& pending,
                        const pool& service_pool) const {
    if (pending.lane == lane::long_work) {
        return !service_pool.lanes
                    .available_for_long(service_pool.plan, m_targets)
                    .empty();
    }
    const auto service = m_snapshot->services.find(pending.request.service);
    return service == m_snapshot->services.end() ||
           service_pool.lanes.has_short_capacity(
               service_pool.plan, service->second.in_flight_percent);
}

void core::start(pending_request& pending, base::time_point now, effects& out) {
    pending.running = true;
    pool_for(pending).lanes.on_started(pending.lane, now);
    if (const auto refused =
            start_attempt(pending, attempt_cause::first, now, out)) {
        return refuse(pending.request.id, *refused, now, out);
    }
    schedule_hedge(pending, now);
}

void core::enqueue(pending_request& pending, pool& service_pool,
                   base::time_point now, effects& out) {
    auto& queue = service_pool.lanes.queue(pending.lane);
    const auto ahead = queue.count_ahead(pending.request.kind.priority);
    const auto typical = state_for(pending.request).latency.quantile(0.5);
    const auto expected_end =
        now + service_pool.lanes.expected_wait(pending.lane, ahead) +
        typical.value_or(base::duration{});
    const refusal overloaded{outcome::not_run, reason::overloaded};
    if (expected_end > pending.request.deadline) {
        ++m_counters.shed;
        return refuse(pending.request.id, overloaded, now, out);
    }
    ++m_counters.queued;
    schedule_recheck(pending, now);
    const auto limit =
        m_snapshot->services.at(pending.request.service).queue_limit;
    if (const auto evicted = queue.push(pending.request.id,
                                        pending.request.kind.priority, limit)) {
        ++m_counters.shed;
        refuse(*evicted, overloaded, now, out);
    }
}

void core::schedule_recheck(pending_request& pending, base::time_point now) {
    if (pending.lane == lane::long_work) {
        pending.recheck_at = now + recheck_period;
        m_timers.emplace(*pending.recheck_at, pending.request.id,
                         timer::recheck);
    }
}

void core::start_queued(base::time_point now, effects& out) {
    while (!m_pools_to_recheck.empty()) {
        auto& service_pool = **m_pools_to_recheck.begin();
        m_pools_to_recheck.erase(m_pools_to_recheck.begin());
        while (start_next(service_pool, lane::short_work, now, out)) {
        }
        while (start_next(service_pool, lane::long_work, now, out)) {
        }
    }
}

bool core::start_next(pool& service_pool, lane l, base::time_point now,
                      effects& out) {
    auto& queue = service_pool.lanes.queue(l);
    const auto next = queue.front();
    if (!next || !has_capacity(m_pending.at(*next), service_pool)) {
        return false;
    }
    queue.remove(*next);
    auto& pending = m_pending.at(*next);
    const auto typical =
        state_for(pending.request).latency.quantile(start_quantile);
    if (now + typical.value_or(base::duration{}) > pending.request.deadline) {
        ++m_counters.shed;
        refuse(*next, {outcome::not_run, reason::overloaded}, now, out);
        return true;
    }
    start(pending, now, out);
    return true;
}

void core::leave_lane(const pending_request& pending, base::time_point now) {
    auto& service_pool = pool_for(pending);
    if (pending.on_lent_slot) {
        service_pool.lanes.on_slot_returned();
    }
    if (pending.running) {
        service_pool.lanes.on_ended(pending.lane, now);
    } else {
        service_pool.lanes.queue(pending.lane).remove(pending.request.id);
    }
    m_pools_to_recheck.insert(&service_pool);
}

} // namespace pollenreel::request
