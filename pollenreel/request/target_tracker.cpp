#include "pollenreel/request/target_tracker.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;

// Weight of the newest sample in a target's mean. More sees a slow target
// sooner and takes a chance run of long requests for one more often.
constexpr double sample_weight = 0.2;
// A single request counts as at most this multiple of the usual, so that one
// straggler does not make its target hot.
constexpr double max_sample_ratio = 8;
// A target whose mean or oldest attempt is beyond this multiple of the usual
// latency is hot. Lower reacts sooner and wastes healthy targets more often.
constexpr double hot_ratio = 4;
// A hot target is tried again after this, doubled with each try that failed.
constexpr base::duration initial_probe_interval = 250ms;
constexpr base::duration max_probe_interval = 4s;
// How long a target that shed an attempt counts as hot.
constexpr base::duration shed_hot_time = 100ms;

// Share of its usual work that a cold target begins with. Higher warms it
// sooner and makes more requests wait for it meanwhile.
constexpr double min_warmup_fraction = 0.1;

double ratio_of(base::duration latency, base::duration usual) {
    if (usual <= base::duration::zero()) {
        return 1;
    }
    return static_cast<double>(latency.count()) /
           static_cast<double>(usual.count());
}

} // namespace

void target_tracker::on_started(base::attempt_id attempt,
                                const base::target_id& target,
                                base::duration usual, base::time_point now) {
    auto& e = m_entries[target];
    e.attempts.push_back({attempt, usual, now});
    e.last_used = ++m_last_use;
    m_attempt_targets[attempt] = target;
}

target_tracker::tracked_attempt
target_tracker::remove_attempt(base::attempt_id attempt, entry*& of) {
    const auto target = m_attempt_targets.find(attempt);
    of = &m_entries.at(target->second);
    m_attempt_targets.erase(target);
    const auto found =
        std::find_if(of->attempts.begin(), of->attempts.end(),
                     [&](const auto& a) { return a.id == attempt; });
    const auto taken = *found;
    of->attempts.erase(found);
    return taken;
}

void target_tracker::add_sample(entry& e, double ratio, base::time_point now) {
    const bool was_hot = e.mean_latency_ratio >= hot_ratio;
    // While hot, samples are rare and each tells more.
    const auto weight = was_hot ? 0.5 : sample_weight;
    e.mean_latency_ratio +=
        weight * (std::min(ratio, max_sample_ratio) - e.mean_latency_ratio);
    if (e.mean_latency_ratio < hot_ratio) {
        e.probe_interval = base::duration::zero();
        return;
    }
    if (was_hot && ratio < hot_ratio) {
        e.next_probe = now;
        return;
    }
    e.probe_interval = e.probe_interval == base::duration::zero()
                           ? initial_probe_interval
                           : std::min(e.probe_interval * 2, max_probe_interval);
    e.next_probe = now + e.probe_interval;
}

void target_tracker::on_answered(base::attempt_id attempt,
                                 base::time_point now) {
    entry* e = nullptr;
    const auto a = remove_attempt(attempt, e);
    if (e->unreachable) {
        e->unreachable = false;
        e->warmup_start = now;
    }
    add_sample(*e, ratio_of(now - a.started_at, a.typical_latency), now);
}

void target_tracker::on_abandoned(base::attempt_id attempt,
                                  base::time_point now) {
    entry* e = nullptr;
    const auto a = remove_attempt(attempt, e);
    const auto ratio = ratio_of(now - a.started_at, a.typical_latency);
    if (ratio > e->mean_latency_ratio) {
        add_sample(*e, ratio, now);
    }
}

void target_tracker::on_failed(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    remove_attempt(attempt, e);
    e->unreachable = true;
    e->mean_latency_ratio = std::max(e->mean_latency_ratio, hot_ratio);
    add_sample(*e, max_sample_ratio, now);
}

void target_tracker::on_shed(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    remove_attempt(attempt, e);
    e->shedding_until = now + shed_hot_time;
}

void target_tracker::begin_slow_start(const base::target_id& t,
                                      base::duration lasts,
                                      base::time_point now) {
    auto& e = m_entries[t];
    e.warmup_start = now;
    e.warmup_time = lasts;
}

double target_tracker::warmup_fraction(const base::target_id& t,
                                       base::time_point now) const {
    const auto* e = find(t);
    if (e == nullptr || now - e->warmup_start >= e->warmup_time) {
        return 1;
    }
    return std::max(min_warmup_fraction,
                    ratio_of(now - e->warmup_start, e->warmup_time));
}

const target_tracker::entry*
target_tracker::find(const base::target_id& t) const {
    const auto found = m_entries.find(t);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::uint32_t target_tracker::in_flight(const base::target_id& t) const {
    const auto* e = find(t);
    return e == nullptr ? 0 : static_cast<std::uint32_t>(e->attempts.size());
}

std::uint64_t target_tracker::last_used(const base::target_id& t) const {
    const auto* e = find(t);
    return e == nullptr ? 0 : e->last_used;
}

bool target_tracker::is_hot(const base::target_id& t,
                            base::time_point now) const {
    const auto* e = find(t);
    return e != nullptr &&
           (now < e->shedding_until || latency_ratio(t, now) >= hot_ratio);
}

bool target_tracker::is_reachable(const base::target_id& t,
                                  base::time_point now) const {
    const auto* e = find(t);
    return e == nullptr || !e->unreachable || is_probe_due(t, now);
}

bool target_tracker::is_probe_due(const base::target_id& t,
                                  base::time_point now) const {
    const auto* e = find(t);
    return e != nullptr && e->mean_latency_ratio >= hot_ratio &&
           e->attempts.empty() && e->next_probe <= now;
}

double target_tracker::latency_ratio(const base::target_id& t,
                                     base::time_point now) const {
    const auto* e = find(t);
    if (e == nullptr) {
        return 1;
    }
    double slowest = e->mean_latency_ratio;
    for (const auto& a : e->attempts) {
        slowest =
            std::max(slowest, ratio_of(now - a.started_at, a.typical_latency));
    }
    return slowest;
}

} // namespace pollenreel::request
