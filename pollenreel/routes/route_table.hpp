// Finds the route of a request: the one with the longest matching path prefix
// among the routes of its host. Immutable and therefore thread-safe.
//
//   const routes::route_table table(configuration);
//   if (const auto* r = table.find("shop.example", "/orders/7")) ...
#pragma once

#include "pollenreel/routes/configuration.hpp"
#include "pollenreel/routes/tenant_index.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace pollenreel::routes {

class route_table {
public:
    explicit route_table(configuration c);
    // The index of keys refers to the configuration.
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    // `host` may include a port and is matched regardless of case; a query or
    // fragment in `path` is ignored. Returns nullptr if no route matches. The
    // result is valid for the lifetime of the table.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;
    // Returns nullptr if the service is not configured.
    [[nodiscard]] const service* find(const base::service_id& id) const;
    // The holder of a key, unless no tenants are configured.
    [[nodiscard]] tenant_index::result find_tenant(std::string_view key) const {
        return m_tenants.find(key);
    }
    // Regions in which all requests to the host run; empty unless all its
    // routes have homes.
    [[nodiscard]] std::vector<base::region_id>
    homes_of(std::string_view host) const;
    [[nodiscard]] const configuration& source() const { return m_source; }

private:
    configuration m_source;
    // Index of a route by its host followed by its path prefix.
    boost::unordered_flat_map<std::string, std::size_t> m_by_prefix;
    boost::unordered_flat_map<base::service_id, std::size_t> m_services;
    tenant_index m_tenants;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace pollenreel::routes
