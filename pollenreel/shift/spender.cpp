#include "pollenreel/shift/spender.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

// What an answer is taken to be long before any came.
constexpr double first_answer_bytes = 16 * 1024;
// How much more than the mean is reserved for an answer. Trades what a cap
// carries against windows exceeded by answers longer than expected.
constexpr double answer_margin = 1.02;
// Weight of the newest answer in the moving average.
constexpr double newest_weight = 0.05;
constexpr std::chrono::seconds limit_window{1};
// Part of the spill that each further priority may not use, in percent.
constexpr std::uint32_t spill_step_percent = 10;
constexpr std::uint32_t most_spill_steps = 8;

double spill_for(double all, std::uint32_t priority) {
    const auto steps = std::min(priority, most_spill_steps);
    return all * (100 - steps * spill_step_percent) / 100;
}

} // namespace

bool moves(base::request_id id, share::ppm fraction) {
    // SplitMix64 (Steele, Lea, Flood, 2014): spreads consecutive ids evenly.
    auto x = id.value() + 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    x ^= x >> 31;
    return x % share::whole.value < fraction.value;
}

void add(traffic_report& to, const traffic_report& later) {
    for (const auto& [p, r] : later) {
        auto& sum = to[p];
        sum.started += r.started;
        sum.bytes += r.bytes;
        sum.held_back += r.held_back;
        sum.in_flight = r.in_flight;
        sum.slots = r.slots;
    }
}

void merge(traffic_report& to, const traffic_report& other) {
    for (const auto& [p, r] : other) {
        auto& sum = to[p];
        sum.started += r.started;
        sum.bytes += r.bytes;
        sum.held_back += r.held_back;
        sum.in_flight += r.in_flight;
        sum.slots += r.slots;
    }
}

void spender::set(allowances_ptr a) {
    m_allowances = std::move(a);
    m_told = true;
    const auto& moves = m_allowances->moves;
    std::erase_if(m_shift_pacers, [&](const auto& p) {
        const bool commanded =
            std::any_of(moves.begin(), moves.end(),
                        [&](const auto& m) { return m.shift == p.first; });
        return !commanded && p.second.bytes_in_flight() == 0;
    });
}

const moved_part* spender::move_of(const candidate& c) const {
    for (const auto& m : m_allowances->moves) {
        const bool open =
            std::find(c.others.begin(), c.others.end(), m.to) != c.others.end();
        if (m.service == c.service && open && moves(c.request, m.fraction)) {
            return &m;
        }
    }
    return nullptr;
}

decision spender::decide(const candidate& c, base::time_point now) {
    m_own = c.own;
    const cost k{c.request_bytes, expected_answer(c.service)};
    if (const auto* m = move_of(c)) {
        const go there{c.service, m->to, m->shift, true, k};
        if (may_cross(there, now) && within_limit({c.service, m->to}, now)) {
            return there;
        }
        ++m_report[{c.service, m->to}].held_back;
    }
    if (!c.own_takes_work) {
        return spill(c, k, now);
    }
    if (!within_limit({c.service, c.own}, now)) {
        return refused_for::limit;
    }
    return go{c.service, c.own, std::nullopt, false, k};
}

decision spender::spill(const candidate& c, const cost& k,
                        base::time_point now) {
    auto why = refused_for::no_region;
    for (const auto& region : c.others) {
        const place p{c.service, region};
        const auto allowed = m_allowances->spill.find(p);
        const auto most = allowed == m_allowances->spill.end()
                              ? 0.0
                              : spill_for(allowed->second, c.priority);
        const go there{c.service, region, std::nullopt, true, k};
        if (m_report[p].in_flight * busy_part(p, c.own) >= most) {
            why = refused_for::headroom;
            ++m_report[p].held_back;
        } else if (!may_cross(there, now)) {
            why = refused_for::cap;
            ++m_report[p].held_back;
        } else if (!within_limit(p, now)) {
            why = refused_for::limit;
        } else {
            return there;
        }
    }
    return why;
}

bool spender::may_cross(const go& g, base::time_point now) {
    const auto way = m_allowances->ways.find(g.to);
    if (way == m_allowances->ways.end() ||
        !m_way_pacers[g.to].fits(g.cost, way->second.at(now), now)) {
        return false;
    }
    if (!g.shift) {
        return true;
    }
    for (const auto& m : m_allowances->moves) {
        if (m.shift == *g.shift) {
            return m_shift_pacers[m.shift].fits(
                g.cost, m.bytes_per_second.at(now), now);
        }
    }
    return false;
}

bool spender::within_limit(const place& p, base::time_point now) {
    const auto limit = m_allowances->limits.find(p);
    if (limit == m_allowances->limits.end()) {
        return true;
    }
    auto& sum = m_limit_sums.try_emplace(p, limit_window).first->second;
    return sum.sum(now) + 1 <= limit->second.at(now);
}

void spender::started(base::attempt_id attempt, const go& g,
                      base::time_point now) {
    const place p{g.service, g.to};
    auto& report = m_report[p];
    ++report.started;
    ++report.in_flight;
    if (m_allowances->limits.contains(p)) {
        m_limit_sums.try_emplace(p, limit_window).first->second.add(1, now);
    }
    if (g.crosses) {
        report.bytes += g.cost.request_bytes;
        m_way_pacers[g.to].start(g.cost, now);
    }
    if (g.shift) {
        m_shift_pacers[*g.shift].start(g.cost, now);
    }
    m_running[attempt] = {g, now};
}

void spender::finished(base::attempt_id attempt,
                       std::optional<std::uint64_t> answer_bytes,
                       base::time_point now) {
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    const auto [to, since] = found->second;
    m_running.erase(found);
    auto& report = m_report[{to.service, to.to}];
    --report.in_flight;
    std::optional<base::duration> took;
    if (answer_bytes) {
        learn_answer(to.service, *answer_bytes);
        took = now - since;
        learn_time({to.service, to.to}, *took, now);
    }
    // Without a whole answer any part of it may have come.
    const auto received = answer_bytes.value_or(to.cost.answer_bytes);
    if (to.crosses) {
        report.bytes += received;
        m_way_pacers[to.to].finish(to.cost, received, took, now);
    }
    if (to.shift) {
        m_shift_pacers[*to.shift].finish(to.cost, received, took, now);
    }
}

traffic_report take(traffic_report& from) {
    auto taken = from;
    for (auto& [p, r] : from) {
        r.started = 0;
        r.bytes = 0;
        r.held_back = 0;
    }
    std::erase_if(from, [](const auto& r) { return r.second.in_flight == 0; });
    return taken;
}

traffic_report spender::take_report() {
    for (auto& [p, r] : m_report) {
        r.slots = r.in_flight * busy_part(p, m_own);
    }
    return take(m_report);
}

void spender::learn_time(const place& p, base::duration took,
                         base::time_point now) {
    auto& t = m_times[p];
    t.least.add(took, now);
    const auto s = std::chrono::duration<double>(took).count();
    t.mean_s += (t.mean_s == 0 ? 1 : newest_weight) * (s - t.mean_s);
}

double spender::busy_part(const place& p, const base::region_id& own) const {
    const auto there = m_times.find(p);
    const auto here = m_times.find({p.first, own});
    if (p.second == own || there == m_times.end() || here == m_times.end()) {
        return 1; // the way there is not known apart from the work
    }
    // The quickest answers differ by the way alone.
    const auto way = *there->second.least.value() - *here->second.least.value();
    const auto way_s = std::chrono::duration<double>(way).count();
    return std::clamp(1 - way_s / there->second.mean_s, 0.0, 1.0);
}

std::uint64_t spender::expected_answer(const base::service_id& s) const {
    const auto found = m_answer_bytes.find(s);
    return static_cast<std::uint64_t>(
        answer_margin *
        (found == m_answer_bytes.end() ? first_answer_bytes : found->second));
}

void spender::learn_answer(const base::service_id& s, std::uint64_t bytes) {
    auto& mean =
        m_answer_bytes.try_emplace(s, first_answer_bytes).first->second;
    mean += newest_weight * (static_cast<double>(bytes) - mean);
}

} // namespace pollenreel::shift
