// Advances shifts and publishes allowances to traffic threads.
#include "pollenreel/share/terms.hpp"
#include "pollenreel/shift/coordinator.hpp"

#include <algorithm>
#include <cmath>

namespace pollenreel::shift {

namespace {

using share::ppm;

constexpr std::uint64_t bytes_per_megabit = 125'000;
// Entries in both regions of a link use it; each region gets half.
constexpr std::uint64_t ends_of_link = 2;
constexpr std::chrono::seconds step_period = share::lease_renewal_period;

ppm moved_part(const std::map<base::shift_id, ppm>& all,
               const base::shift_id& id) {
    const auto found = all.find(id);
    return found == all.end() ? ppm{} : found->second;
}

} // namespace

void coordinator::advance_shifts(base::time_point now) {
    if (!m_holder.holds_lease(now)) {
        m_last_step.reset();
        m_shift_histories.clear();
        return;
    }
    if (!m_last_step) {
        m_last_step = now;
    }
    const auto since = now - *m_last_step;
    if (since < step_period) {
        return;
    }
    m_last_step = now;
    std::map<base::shift_id, ppm> next;
    for (const auto& s : m_configuration.commanded.shifts) {
        if (s.from != m_options.region) {
            continue;
        }
        auto& t = m_shift_histories[s.id];
        t.moved.emplace_back(now, moved_part(m_holder.progress(), s.id));
        while (t.moved.size() > 1 && now - t.moved[1].first >= cold_period) {
            t.moved.pop_front();
        }
        auto in = step_input_for(s, t, now);
        in.since_last_step = since;
        const auto step = next_step(in);
        t.reason = step.reason;
        next[s.id] = step.moved;
    }
    m_holder.set_progress(std::move(next));
}

step_input coordinator::step_input_for(const declarations::shift& s,
                                       const shift_history& t,
                                       base::time_point now) const {
    const bool back = s.state == declarations::shift_state::reversing;
    const place to{s.service, back ? s.from : s.to};
    const auto& own = m_options.region;
    const auto moved = m_loads.use_of(own, {s.service, s.to});
    const auto stays = m_loads.use_of(own, {s.service, s.from});
    step_input in;
    in.commanded = s;
    in.moved = t.moved.back().second;
    const bool old = now - t.moved.front().first >= cold_period;
    in.moved_before_cold_period = old ? t.moved.front().second : ppm{};
    in.slots_wanted = moved.slots + stays.slots;
    const double attempted =
        static_cast<double>(moved.started + moved.held_back);
    in.held_back =
        attempted == 0 ? 0 : static_cast<double>(moved.held_back) / attempted;
    in.destination = {usable_slots(to), m_loads.used(to, own),
                      m_loads.age(to.second, now)
                          .value_or(2 * base::duration(max_measurement_age))};
    return in;
}

usable_rate coordinator::rate(std::uint64_t cap, const share::resource_id& r,
                              base::time_point now) const {
    const auto s = m_claimant.share_of(r, now);
    const auto mine = cap / m_options.threads;
    return {share::scale(mine, s.now), share::scale(mine, s.after), s.until};
}

allowances coordinator::current_allowances(base::time_point now) const {
    allowances a;
    for (const auto& l : m_configuration.declared.links) {
        if (l.first != m_options.region && l.second != m_options.region) {
            continue;
        }
        const auto& to = l.first == m_options.region ? l.second : l.first;
        a.link_rates[to] =
            rate(l.megabits_per_second * bytes_per_megabit / ends_of_link,
                 share::region_pair(m_options.region, to), now);
    }
    for (const auto& s : m_configuration.commanded.shifts) {
        const auto moved = moved_part(m_progress, s.id);
        if (s.from != m_options.region || moved == ppm{}) {
            continue;
        }
        const auto link = a.link_rates.find(s.to);
        auto rate_limit =
            link == a.link_rates.end() ? usable_rate{} : link->second;
        if (s.cap_megabits_per_second > 0) {
            rate_limit = rate(s.cap_megabits_per_second * bytes_per_megabit,
                              share::region_pair(s.from, s.to), now);
        }
        a.moves.push_back({s.id, s.service, s.to, moved, rate_limit});
    }
    for (const auto& l : m_configuration.commanded.limits) {
        a.limits[{l.service, l.region}] =
            rate(l.requests_per_second,
                 share::service_limit(l.service, l.region), now);
    }
    for (const auto& [p, r] : m_headroom) {
        a.spill[p] = r.allowed(now) / m_options.threads;
    }
    return a;
}

void coordinator::publish(base::time_point now, effects& out) {
    auto a = current_allowances(now);
    if (a != m_published) {
        m_published = a;
        out.emplace_back(std::make_shared<const allowances>(std::move(a)));
    }
}

std::vector<progress> coordinator::shifts(base::time_point now) const {
    std::vector<progress> all;
    const bool known =
        m_last_grant && now - *m_last_grant <= 3 * share::request_period;
    for (const auto& s : m_configuration.commanded.shifts) {
        if (s.from != m_options.region) {
            continue;
        }
        const auto t = m_shift_histories.find(s.id);
        auto reason = known ? hold_reason::none : hold_reason::no_holder;
        if (t != m_shift_histories.end()) {
            reason = t->second.reason;
        }
        all.push_back({s.id, s.service, s.from, s.to, s.percent,
                       moved_part(m_progress, s.id), reason});
    }
    return all;
}

} // namespace pollenreel::shift
