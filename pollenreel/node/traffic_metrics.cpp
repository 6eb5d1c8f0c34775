#include "pollenreel/node/traffic_metrics.hpp"

#include "pollenreel/request/classify.hpp"

#include <algorithm>

namespace pollenreel::node {

namespace {

constexpr unsigned first_server_error = 500;

base::region_id region_of(const routing::snapshot& s,
                          const base::service_id& service,
                          const base::target_id& target) {
    const auto found = s.services.find(service);
    if (found != s.services.end()) {
        for (const auto& t : found->second.targets) {
            if (t.id == target) {
                return t.region;
            }
        }
    }
    return {};
}

metrics::outcome as_metric(request::outcome o) {
    return o == request::outcome::not_run ? metrics::outcome::not_run
                                          : metrics::outcome::unknown;
}

} // namespace

void traffic_metrics::arrived(const request::incoming_request& a,
                              base::time_point now) {
    followed f;
    f.arrived = now;
    f.series.service = a.service;
    const auto read = request::classify(a, *m_snapshot, now);
    if (const auto* c = std::get_if<request::classified_request>(&read)) {
        const auto& kind = c->kind;
        f.series.kind = kind.id;
        f.objective = kind.objective.latency.count() > 0
                          ? kind.objective.latency
                          : kind.deadline;
    }
    m_followed[a.id] = std::move(f);
}

void traffic_metrics::opened(const request::open_attempt& e) {
    const auto found = m_followed.find(e.request);
    if (found != m_followed.end()) {
        auto& f = found->second;
        auto region = region_of(*m_snapshot, f.series.service, e.target.id);
        f.series.region = region;
        f.attempts.emplace_back(e.attempt, std::move(region));
    }
}

void traffic_metrics::answered(base::request_id request,
                               base::attempt_id attempt, unsigned status,
                               base::time_point now) {
    const auto found = m_followed.find(request);
    if (found == m_followed.end()) {
        return;
    }
    auto& f = found->second;
    f.series.outcome = status < first_server_error
                           ? metrics::outcome::answered
                           : metrics::outcome::target_error;
    for (const auto& [id, region] : f.attempts) {
        if (id == attempt) {
            f.series.region = region;
        }
    }
    finish(request, now);
}

void traffic_metrics::refused(base::request_id request, request::outcome o,
                              base::time_point now) {
    const auto found = m_followed.find(request);
    if (found != m_followed.end()) {
        found->second.series.outcome = as_metric(o);
        finish(request, now);
    }
}

void traffic_metrics::finish(base::request_id request, base::time_point now) {
    const auto found = m_followed.find(request);
    const auto& f = found->second;
    const auto latency = now - f.arrived;
    const bool good = f.series.outcome == metrics::outcome::answered &&
                      latency <= f.objective;
    m_recorder.record(f.series, latency, good);
    m_followed.erase(found);
}

} // namespace pollenreel::node
