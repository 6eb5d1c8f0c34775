// The metrics of one instance in the text form that monitoring scrapes.
#pragma once

#include "pollenreel/node/traffic_thread.hpp"
#include "pollenreel/peer/transport.hpp"

#include <string>
#include <vector>

namespace pollenreel::node {

// What the traffic threads hold, added up.
[[nodiscard]] metrics::readings
readings_of(const std::vector<traffic_thread*>& traffic);

[[nodiscard]] std::string
metrics_text(const std::vector<traffic_thread*>& traffic,
             const peer::transport_counters& peers,
             base::config_version version);

} // namespace pollenreel::node
