#include "pollenreel/request/target_tracker.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;

// Weight of the latest sample in a target's mean. A larger weight detects a
// slow target sooner, and mistakes a random series of long requests for one
// more often.
constexpr double sample_weight = 0.2;
// Upper bound of a single sample, so that one straggler does not make its
// target hot.
constexpr double max_sample_ratio = 8;
// A target is hot when its mean latency, or the age of its oldest attempt,
// reaches this multiple of the typical latency. A lower threshold reacts sooner
// and avoids healthy targets more often.
constexpr double hot_ratio = 4;
// Interval between probes of a hot target; doubles with each failed probe.
constexpr base::duration initial_probe_interval = 250ms;
constexpr base::duration max_probe_interval = 4s;
// How long a target is hot after it shed an attempt.
constexpr base::duration shed_hot_time = 100ms;

// Fraction of its normal work that a target receives when its warm-up starts. A
// higher fraction warms it up sooner and delays more requests meanwhile.
constexpr double min_warmup_fraction = 0.1;

double ratio_of(base::duration latency, base::duration typical) {
    if (typical <= base::duration::zero()) {
        return 1;
    }
    return static_cast<double>(latency.count()) /
           static_cast<double>(typical.count());
}

} // namespace

void target_tracker::on_started(base::attempt_id attempt,
                                const base::target_id& target,
                                base::duration typical, base::time_point now) {
    auto& e = m_entries[target];
    e.attempts.push_back({attempt, typical, now});
    e.last_used = ++m_last_use;
    m_attempt_targets[attempt] = target;
}

target_tracker::tracked_attempt
target_tracker::remove_attempt(base::attempt_id attempt, entry*& owner) {
    const auto target = m_attempt_targets.find(attempt);
    owner = &m_entries.at(target->second);
    m_attempt_targets.erase(target);
    const auto found =
        std::find_if(owner->attempts.begin(), owner->attempts.end(),
                     [&](const auto& a) { return a.id == attempt; });
    const auto removed = *found;
    owner->attempts.erase(found);
    return removed;
}

void target_tracker::add_sample(entry& e, double ratio, base::time_point now) {
    const bool was_hot = e.mean_latency_ratio >= hot_ratio;
    // Samples are rare while the target is hot, so each weighs more.
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

void target_tracker::set_slow_start(const base::target_id& target,
                                    base::duration duration) {
    m_entries[target].warmup_time = duration;
}

void target_tracker::begin_slow_start(const base::target_id& target,
                                      base::time_point now) {
    m_entries[target].warmup_start = now;
}

double target_tracker::warmup_fraction(const base::target_id& target,
                                       base::time_point now) const {
    const auto* e = find(target);
    if (e == nullptr || !e->warmup_start ||
        now - *e->warmup_start >= e->warmup_time) {
        return 1;
    }
    return std::max(min_warmup_fraction,
                    ratio_of(now - *e->warmup_start, e->warmup_time));
}

const target_tracker::entry*
target_tracker::find(const base::target_id& target) const {
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::uint32_t target_tracker::in_flight(const base::target_id& target) const {
    const auto* e = find(target);
    return e == nullptr ? 0 : static_cast<std::uint32_t>(e->attempts.size());
}

std::uint64_t target_tracker::last_used(const base::target_id& target) const {
    const auto* e = find(target);
    return e == nullptr ? 0 : e->last_used;
}

bool target_tracker::is_hot(const base::target_id& target,
                            base::time_point now) const {
    const auto* e = find(target);
    return e != nullptr &&
           (now < e->shedding_until || latency_ratio(target, now) >= hot_ratio);
}

bool target_tracker::is_reachable(const base::target_id& target,
                                  base::time_point now) const {
    const auto* e = find(target);
    return e == nullptr || !e->unreachable || is_probe_due(target, now);
}

bool target_tracker::is_probe_due(const base::target_id& target,
                                  base::time_point now) const {
    const auto* e = find(target);
    return e != nullptr && e->mean_latency_ratio >= hot_ratio &&
           e->attempts.empty() && e->next_probe <= now;
}

double target_tracker::latency_ratio(const base::target_id& target,
                                     base::time_point now) const {
    const auto* e = find(target);
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
