// Keeps the history of this instance's service levels and answers it.
#pragma once

#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/metrics/recorder.hpp"
#include "pollenreel/report/level_history.hpp"

#include <optional>

namespace pollenreel::node {

class level_keeper {
public:
    // `own_region` stands in for the region of requests that met no target.
    void observe(const metrics::readings& all,
                 const base::region_id& own_region, base::time_point now);

    // Levels of the kinds that `c` declares, with their objectives.
    [[nodiscard]] report::service_levels
    read(const base::instance_id& self, const declarations::configuration& c,
         base::time_point now) const;

    // Whether the last observation is older than a slot of the history.
    [[nodiscard]] bool due(base::time_point now) const;

private:
    struct known {
        report::level_counts counts;
        metrics::latency_distribution latency;
    };

    std::map<report::level_key, known> m_last;
    report::level_history m_history;
    std::optional<base::time_point> m_first;
    base::time_point m_latest;
};

} // namespace pollenreel::node
