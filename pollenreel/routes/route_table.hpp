// Finds the route of a request: the one with the longest matching path prefix
// among the routes of its host. Immutable and therefore thread-safe.
//
//   const routes::route_table table(configuration);
//   if (const auto* r = table.find("shop.example", "/orders/7")) ...
#pragma once

#include "pollenreel/routes/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace pollenreel::routes {

class route_table {
public:
    explicit route_table(configuration c);

    // `host` may include a port and is matched regardless of case; a query or
    // fragment in `path` is ignored. Returns nullptr if no route matches. The
    // result is valid for the lifetime of the table.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;
    // Returns nullptr if the service is not configured.
    [[nodiscard]] const service* find(const base::service_id& id) const;
    [[nodiscard]] const configuration& source() const { return m_source; }

private:
    configuration m_source;
    // Index of a route by its host followed by its path prefix.
    boost::unordered_flat_map<std::string, std::size_t> m_by_prefix;
    boost::unordered_flat_map<base::service_id, std::size_t> m_services;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace pollenreel::routes
