// Follows the requests of one traffic thread and records what became of them.
//
//   m_metrics.arrived(arrival, now);     m_metrics.opened(open_attempt);
//   m_metrics.answered(request, attempt, 200, now);
#pragma once

#include "pollenreel/metrics/recorder.hpp"
#include "pollenreel/request/core.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <utility>
#include <vector>

namespace pollenreel::node {

// All members but `read` belong to the traffic thread.
class traffic_metrics {
public:
    void use(routing::snapshot_ptr s) { m_snapshot = std::move(s); }

    void arrived(const request::incoming_request& a, base::time_point now);
    void opened(const request::open_attempt& e);
    // `status` is the target's; 500 and above is a server error.
    void answered(base::request_id request, base::attempt_id attempt,
                  unsigned status, base::time_point now);
    void refused(base::request_id request, request::outcome o,
                 base::time_point now);

    // From any thread.
    [[nodiscard]] metrics::readings read() const { return m_recorder.read(); }

private:
    struct followed {
        metrics::series series;
        base::time_point arrived;
        base::duration objective{};
        std::vector<std::pair<base::attempt_id, base::region_id>> attempts;
    };

    void finish(base::request_id request, base::time_point now);

    metrics::recorder m_recorder;
    routing::snapshot_ptr m_snapshot = std::make_shared<routing::snapshot>();
    boost::unordered_flat_map<base::request_id, followed> m_followed;
};

} // namespace pollenreel::node
