#include "pollenreel/node/metrics_text.hpp"

#include "pollenreel/metrics/exposition.hpp"

namespace pollenreel::node {

namespace {

traffic_counters sum_of(const std::vector<traffic_thread*>& traffic) {
    traffic_counters sum;
    for (const auto* t : traffic) {
        const auto c = t->counters();
        sum.lookups += c.lookups;
        sum.malformed += c.malformed;
        sum.requests_in_flight += c.requests_in_flight;
        sum.connections += c.connections;
        sum.requests.requests += c.requests.requests;
        sum.requests.forwarded += c.requests.forwarded;
        sum.requests.refused_not_run += c.requests.refused_not_run;
        sum.requests.refused_unknown += c.requests.refused_unknown;
        sum.requests.attempts += c.requests.attempts;
    }
    return sum;
}

void add_traffic(metrics::exposition& e, const traffic_counters& c) {
    e.counter("pollenreel_lookups_total", "Look-ups answered.", c.lookups);
    e.counter("pollenreel_requests_total", "Requests received.",
              c.requests.requests);
    e.counter("pollenreel_requests_forwarded_total",
              "Requests answered by a target.", c.requests.forwarded);
    constexpr auto refused = "pollenreel_requests_refused_total";
    constexpr auto refused_help = "Requests that the system itself answered.";
    e.counter(refused, refused_help, c.requests.refused_not_run,
              {{"outcome", "not-run"}});
    e.counter(refused, refused_help, c.requests.refused_unknown,
              {{"outcome", "unknown"}});
    e.counter("pollenreel_attempts_total", "Attempts at targets.",
              c.requests.attempts);
    e.gauge("pollenreel_requests_in_flight", "Requests not answered yet.",
            static_cast<double>(c.requests_in_flight));
    e.gauge("pollenreel_caller_connections", "Open connections of callers.",
            static_cast<double>(c.connections));
}

void add_peers(metrics::exposition& e, const peer::transport_counters& p) {
    e.counter("pollenreel_peer_sent_bytes_total", "Bytes sent to peers.",
              p.bytes_sent);
    e.counter("pollenreel_peer_received_bytes_total",
              "Bytes received from peers.", p.bytes_received);
    e.counter("pollenreel_peer_dropped_messages_total",
              "Messages to peers that were dropped.", p.dropped);
    e.counter("pollenreel_peer_refused_connections_total",
              "Connections of peers without the fleet's keys.", p.refused);
}

} // namespace

metrics::readings readings_of(const std::vector<traffic_thread*>& traffic) {
    std::vector<metrics::readings> parts;
    parts.reserve(traffic.size());
    for (const auto* t : traffic) {
        parts.push_back(t->readings());
    }
    return metrics::merge(parts);
}

std::string metrics_text(const std::vector<traffic_thread*>& traffic,
                         const peer::transport_counters& peers,
                         base::config_version version) {
    const auto sum = sum_of(traffic);
    metrics::exposition e;
    add_traffic(e, sum);
    constexpr auto malformed = "pollenreel_malformed_messages_total";
    constexpr auto malformed_help = "Messages that could not be read.";
    e.counter(malformed, malformed_help, sum.malformed,
              {{"listener", "callers"}});
    e.counter(malformed, malformed_help, peers.malformed,
              {{"listener", "peers"}});
    add_peers(e, peers);
    e.gauge("pollenreel_configuration_version",
            "Version of the configuration that is applied.",
            static_cast<double>(version.value()));
    e.requests(readings_of(traffic));
    return e.text();
}

} // namespace pollenreel::node
