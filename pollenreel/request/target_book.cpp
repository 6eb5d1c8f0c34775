#include "pollenreel/request/target_book.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;

// Weight of the newest sample in a target's mean. More sees a slow target
// sooner and takes a chance run of long requests for one more often.
constexpr double newest_weight = 0.2;
// A single request counts as at most this multiple of the usual, so that one
// straggler does not make its target hot.
constexpr double most_ratio = 8;
// A target whose mean or oldest attempt is beyond this multiple of the usual
// latency is hot. Lower reacts sooner and wastes healthy targets more often.
constexpr double hot_ratio = 4;
// A hot target is tried again after this, doubled with each try that failed.
constexpr base::duration first_retry_after = 250ms;
constexpr base::duration longest_retry_after = 4s;
// How long a target that shed an attempt counts as hot.
constexpr base::duration full_for = 100ms;

// Share of its usual work that a cold target begins with. Higher warms it
// sooner and makes more requests wait for it meanwhile.
constexpr double coldest = 0.1;

double ratio_of(base::duration latency, base::duration usual) {
    if (usual <= base::duration::zero()) {
        return 1;
    }
    return static_cast<double>(latency.count()) /
           static_cast<double>(usual.count());
}

} // namespace

void target_book::started(base::attempt_id attempt,
                          const base::target_id& target, base::duration usual,
                          base::time_point now) {
    auto& e = m_entries[target];
    e.attempts.push_back({attempt, usual, now});
    e.last_used = ++m_uses;
    m_target_of[attempt] = target;
}

target_book::under_way target_book::take(base::attempt_id attempt, entry*& of) {
    const auto target = m_target_of.find(attempt);
    of = &m_entries.at(target->second);
    m_target_of.erase(target);
    const auto found =
        std::find_if(of->attempts.begin(), of->attempts.end(),
                     [&](const auto& a) { return a.id == attempt; });
    const auto taken = *found;
    of->attempts.erase(found);
    return taken;
}

void target_book::add_sample(entry& e, double ratio, base::time_point now) {
    const bool was_hot = e.mean_ratio >= hot_ratio;
    // While hot, samples are rare and each tells more.
    const auto weight = was_hot ? 0.5 : newest_weight;
    e.mean_ratio += weight * (std::min(ratio, most_ratio) - e.mean_ratio);
    if (e.mean_ratio < hot_ratio) {
        e.retry_after = base::duration::zero();
        return;
    }
    if (was_hot && ratio < hot_ratio) {
        e.probe_at = now;
        return;
    }
    e.retry_after = e.retry_after == base::duration::zero()
                        ? first_retry_after
                        : std::min(e.retry_after * 2, longest_retry_after);
    e.probe_at = now + e.retry_after;
}

void target_book::answered(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    const auto a = take(attempt, e);
    if (e->down) {
        e->down = false;
        e->cold_since = now;
    }
    add_sample(*e, ratio_of(now - a.since, a.usual), now);
}

void target_book::abandoned(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    const auto a = take(attempt, e);
    const auto ratio = ratio_of(now - a.since, a.usual);
    if (ratio > e->mean_ratio) {
        add_sample(*e, ratio, now);
    }
}

void target_book::failed(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    take(attempt, e);
    e->down = true;
    e->mean_ratio = std::max(e->mean_ratio, hot_ratio);
    add_sample(*e, most_ratio, now);
}

void target_book::shed(base::attempt_id attempt, base::time_point now) {
    entry* e = nullptr;
    take(attempt, e);
    e->full_until = now + full_for;
}

void target_book::begin_slow_start(const base::target_id& t,
                                   base::duration lasts, base::time_point now) {
    auto& e = m_entries[t];
    e.cold_since = now;
    e.cold_for = lasts;
}

double target_book::warmth(const base::target_id& t,
                           base::time_point now) const {
    const auto* e = find(t);
    if (e == nullptr || now - e->cold_since >= e->cold_for) {
        return 1;
    }
    return std::max(coldest, ratio_of(now - e->cold_since, e->cold_for));
}

const target_book::entry* target_book::find(const base::target_id& t) const {
    const auto found = m_entries.find(t);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::uint32_t target_book::in_flight(const base::target_id& t) const {
    const auto* e = find(t);
    return e == nullptr ? 0 : static_cast<std::uint32_t>(e->attempts.size());
}

std::uint64_t target_book::last_used(const base::target_id& t) const {
    const auto* e = find(t);
    return e == nullptr ? 0 : e->last_used;
}

bool target_book::hot(const base::target_id& t, base::time_point now) const {
    const auto* e = find(t);
    return e != nullptr &&
           (now < e->full_until || slowness(t, now) >= hot_ratio);
}

bool target_book::reachable(const base::target_id& t,
                            base::time_point now) const {
    const auto* e = find(t);
    return e == nullptr || !e->down || wants_probe(t, now);
}

bool target_book::wants_probe(const base::target_id& t,
                              base::time_point now) const {
    const auto* e = find(t);
    return e != nullptr && e->mean_ratio >= hot_ratio && e->attempts.empty() &&
           e->probe_at <= now;
}

double target_book::slowness(const base::target_id& t,
                             base::time_point now) const {
    const auto* e = find(t);
    if (e == nullptr) {
        return 1;
    }
    double slowest = e->mean_ratio;
    for (const auto& a : e->attempts) {
        slowest = std::max(slowest, ratio_of(now - a.since, a.usual));
    }
    return slowest;
}

} // namespace pollenreel::request
