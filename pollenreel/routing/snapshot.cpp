#include "pollenreel/routing/snapshot.hpp"

#include <boost/asio/ip/network_v4.hpp>

#include <algorithm>

namespace pollenreel::routing {

namespace {

service compile_service(const declarations::service& declared,
                        const declarations::steering& commanded,
                        const snapshot& partial) {
    service compiled;
    compiled.id = declared.id;
    compiled.max_connections_per_target = declared.max_connections_per_target;
    compiled.kinds = declared.kinds;
    compiled.long_running_percent = declared.long_running_percent;
    compiled.queue_limit = declared.queue_limit;
    compiled.in_flight_percent = declared.in_flight_percent;
    compiled.slow_start = declared.slow_start;
    for (const auto& t : declared.targets) {
        target compiled_target;
        compiled_target.id = t.id;
        compiled_target.failure_domain = t.failure_domain;
        compiled_target.region = partial.region_of.at(t.failure_domain);
        compiled_target.address = t.address;
        compiled_target.slots = t.slots;
        compiled_target.accepts_new_work =
            !commanded.drained_targets.contains(t.id) &&
            !commanded.drained_domains.contains(t.failure_domain);
        compiled.targets.push_back(std::move(compiled_target));
    }
    return compiled;
}

std::vector<client_range>
compile_ranges(const std::vector<declarations::client_block>& blocks) {
    std::vector<client_range> ranges;
    for (const auto& b : blocks) {
        boost::system::error_code error;
        const auto network = boost::asio::ip::make_network_v4(b.block, error);
        if (!error) {
            ranges.push_back({network.network().to_uint(),
                              network.broadcast().to_uint(), b.failure_domain});
        }
    }
    std::sort(ranges.begin(), ranges.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return ranges;
}

} // namespace

snapshot_ptr compile(const declarations::configuration& configuration,
                     const instance& self,
                     std::vector<instance> usable_instances) {
    auto s = std::make_shared<snapshot>();
    s->version = configuration.version;
    s->self = self.id;
    s->failure_domain = self.failure_domain;
    s->instances = std::move(usable_instances);
    for (const auto& r : configuration.declared.regions) {
        for (const auto& d : r.failure_domains) {
            s->region_of.emplace(d, r.id);
        }
    }
    if (const auto own_region = s->region_of.find(self.failure_domain);
        own_region != s->region_of.end()) {
        s->region = own_region->second;
    }
    for (const auto& declared : configuration.declared.services) {
        s->services.emplace(
            declared.id,
            compile_service(declared, configuration.commanded, *s));
    }
    s->client_ranges = compile_ranges(configuration.declared.client_blocks);
    return s;
}

} // namespace pollenreel::routing
