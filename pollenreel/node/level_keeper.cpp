#include "pollenreel/node/level_keeper.hpp"

namespace pollenreel::node {

namespace {

constexpr std::chrono::seconds observe_period{5};

const declarations::kind* find_kind(const declarations::document& d,
                                    const report::level_key& key) {
    for (const auto& s : d.services) {
        for (const auto& k : s.kinds) {
            if (s.id == key.service && k.id == key.kind) {
                return &k;
            }
        }
    }
    return nullptr;
}

declarations::objective objective_of(const declarations::kind& k) {
    auto o = k.objective;
    if (o.latency.count() == 0) {
        o.latency = k.deadline;
    }
    return o;
}

} // namespace

void level_keeper::observe(const metrics::readings& all,
                           const base::region_id& own_region,
                           base::time_point now) {
    m_first = m_first.value_or(now);
    m_latest = now;
    m_last.clear();
    for (const auto& [s, counts] : all) {
        if (s.kind.empty()) {
            continue; // a request for nothing that is declared
        }
        const auto& region = s.region.empty() ? own_region : s.region;
        auto& sum = m_last[{s.service, s.kind, region}];
        sum.counts.add({counts.good, counts.latency.count});
        sum.latency.merge(counts.latency);
    }
    for (const auto& [key, k] : m_last) {
        m_history.observe(key, k.counts, now);
    }
}

report::service_levels level_keeper::read(const base::instance_id& self,
                                          const declarations::configuration& c,
                                          base::time_point now) const {
    report::service_levels out;
    out.instances = {self};
    out.covered =
        std::chrono::floor<std::chrono::seconds>(now - m_first.value_or(now));
    for (const auto& [key, k] : m_last) {
        const auto* kind = find_kind(c.declared, key);
        if (kind == nullptr) {
            continue;
        }
        auto& l = out.levels[key];
        l.objective = objective_of(*kind);
        for (std::size_t i = 0; i < report::windows.size(); ++i) {
            l.in_window.at(i) =
                m_history.within(key, report::windows.at(i), now);
        }
        l.minutes = m_history.minutes(key, now);
        l.hours = m_history.hours(key, now);
        l.latency = k.latency;
    }
    return out;
}

bool level_keeper::due(base::time_point now) const {
    return !m_first || now - m_latest >= observe_period;
}

} // namespace pollenreel::node
