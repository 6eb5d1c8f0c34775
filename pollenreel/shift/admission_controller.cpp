#include "pollenreel/shift/admission_controller.hpp"

#include <algorithm>

namespace pollenreel::shift {

namespace {

// Assumed size of an answer before any has arrived.
constexpr double initial_answer_bytes = 16 * 1024;
// Bytes reserved for an answer, relative to the mean. A larger margin reduces
// the use of a cap; a smaller one lets longer answers exceed more windows.
constexpr double answer_margin = 1.02;
// Weight of the newest sample in the moving averages.
constexpr double smoothing_factor = 0.05;
constexpr std::chrono::seconds limit_window{1};
// Reduction of the spill allowance per priority level, in percent.
constexpr std::uint32_t spill_step_percent = 10;
constexpr std::uint32_t max_spill_steps = 8;

double spill_limit(double all, std::uint32_t priority) {
    const auto steps = std::min(priority, max_spill_steps);
    return all * (100 - steps * spill_step_percent) / 100;
}

} // namespace

bool moves(base::request_id id, share::ppm fraction) {
    // SplitMix64 (Steele, Lea, Flood, 2014) distributes consecutive ids evenly.
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

void admission_controller::set_allowances(allowances_ptr a) {
    m_allowances = std::move(a);
    m_has_allowances = true;
    const auto& moves = m_allowances->moves;
    std::erase_if(m_shift_pacers, [&](const auto& p) {
        const bool commanded =
            std::any_of(moves.begin(), moves.end(),
                        [&](const auto& m) { return m.shift == p.first; });
        return !commanded && p.second.bytes_in_flight() == 0;
    });
}

const moved_traffic* admission_controller::find_move(const candidate& c) const {
    for (const auto& m : m_allowances->moves) {
        const bool open =
            std::find(c.others.begin(), c.others.end(), m.to) != c.others.end();
        if (m.service == c.service && open && moves(c.request, m.fraction)) {
            return &m;
        }
    }
    return nullptr;
}

decision admission_controller::decide(const candidate& c,
                                      base::time_point now) {
    m_own_region = c.own;
    const cost expected_cost{c.request_bytes, expected_answer(c.service)};
    if (const auto* m = find_move(c)) {
        const admission there{c.service, m->to, m->shift, true, expected_cost};
        if (fits_caps(there, now) && within_limit({c.service, m->to}, now)) {
            return there;
        }
        ++m_report[{c.service, m->to}].held_back;
    }
    if (!c.own_available) {
        return spill(c, expected_cost, now);
    }
    if (!within_limit({c.service, c.own}, now)) {
        return refusal_reason::limit;
    }
    return admission{c.service, c.own, std::nullopt, false, expected_cost};
}

decision admission_controller::spill(const candidate& c,
                                     const cost& expected_cost,
                                     base::time_point now) {
    auto reason = refusal_reason::no_region;
    for (const auto& region : c.others) {
        const place p{c.service, region};
        const auto allowed = m_allowances->spill.find(p);
        const auto max_slots = allowed == m_allowances->spill.end()
                                   ? 0.0
                                   : spill_limit(allowed->second, c.priority);
        const admission there{c.service, region, std::nullopt, true,
                              expected_cost};
        if (m_report[p].in_flight * busy_fraction(p, c.own) >= max_slots) {
            reason = refusal_reason::headroom;
            ++m_report[p].held_back;
        } else if (!fits_caps(there, now)) {
            reason = refusal_reason::cap;
            ++m_report[p].held_back;
        } else if (!within_limit(p, now)) {
            reason = refusal_reason::limit;
        } else {
            return there;
        }
    }
    return reason;
}

bool admission_controller::fits_caps(const admission& admitted,
                                     base::time_point now) {
    const auto link_rate = m_allowances->link_rates.find(admitted.to);
    if (link_rate == m_allowances->link_rates.end() ||
        !m_link_pacers[admitted.to].fits(admitted.cost,
                                         link_rate->second.at(now), now)) {
        return false;
    }
    if (!admitted.shift) {
        return true;
    }
    for (const auto& m : m_allowances->moves) {
        if (m.shift == *admitted.shift) {
            return m_shift_pacers[m.shift].fits(
                admitted.cost, m.bytes_per_second.at(now), now);
        }
    }
    return false;
}

bool admission_controller::within_limit(const place& p, base::time_point now) {
    const auto limit = m_allowances->limits.find(p);
    if (limit == m_allowances->limits.end()) {
        return true;
    }
    auto& sum = m_limit_sums.try_emplace(p, limit_window).first->second;
    return sum.sum(now) + 1 <= limit->second.at(now);
}

void admission_controller::started(base::attempt_id attempt,
                                   const admission& admitted,
                                   base::time_point now) {
    const place p{admitted.service, admitted.to};
    auto& report = m_report[p];
    ++report.started;
    ++report.in_flight;
    if (m_allowances->limits.contains(p)) {
        m_limit_sums.try_emplace(p, limit_window).first->second.add(1, now);
    }
    if (admitted.leaves_region) {
        report.bytes += admitted.cost.request_bytes;
        m_link_pacers[admitted.to].start(admitted.cost, now);
    }
    if (admitted.shift) {
        m_shift_pacers[*admitted.shift].start(admitted.cost, now);
    }
    m_running[attempt] = {admitted, now};
}

void admission_controller::finished(base::attempt_id attempt,
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
        record_answer(to.service, *answer_bytes);
        took = now - since;
        record_time({to.service, to.to}, *took, now);
    }
    // Without a complete answer, any part of it may have arrived.
    const auto received = answer_bytes.value_or(to.cost.answer_bytes);
    if (to.leaves_region) {
        report.bytes += received;
        m_link_pacers[to.to].finish(to.cost, received, took, now);
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

traffic_report admission_controller::take_report() {
    for (auto& [p, r] : m_report) {
        r.slots = r.in_flight * busy_fraction(p, m_own_region);
    }
    return take(m_report);
}

void admission_controller::record_time(const place& p, base::duration took,
                                       base::time_point now) {
    auto& t = m_times[p];
    t.min_time.add(took, now);
    const auto s = std::chrono::duration<double>(took).count();
    t.mean_s += (t.mean_s == 0 ? 1 : smoothing_factor) * (s - t.mean_s);
}

double admission_controller::busy_fraction(const place& p,
                                           const base::region_id& own) const {
    const auto there = m_times.find(p);
    const auto here = m_times.find({p.first, own});
    if (p.second == own || there == m_times.end() || here == m_times.end()) {
        return 1; // transit and service time cannot be told apart
    }
    // The fastest answers differ only by the transit time.
    const auto transit =
        *there->second.min_time.value() - *here->second.min_time.value();
    const auto transit_s = std::chrono::duration<double>(transit).count();
    return std::clamp(1 - transit_s / there->second.mean_s, 0.0, 1.0);
}

std::uint64_t
admission_controller::expected_answer(const base::service_id& s) const {
    const auto found = m_answer_bytes.find(s);
    return static_cast<std::uint64_t>(
        answer_margin *
        (found == m_answer_bytes.end() ? initial_answer_bytes : found->second));
}

void admission_controller::record_answer(const base::service_id& s,
                                         std::uint64_t bytes) {
    auto& mean =
        m_answer_bytes.try_emplace(s, initial_answer_bytes).first->second;
    mean += smoothing_factor * (static_cast<double>(bytes) - mean);
}

} // namespace pollenreel::shift
