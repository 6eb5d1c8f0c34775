#include "pollenreel/routes/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace pollenreel::routes {

namespace {

std::string host_key(std::string_view host) {
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return key;
}

} // namespace

route_table::route_table(configuration c) : m_source(std::move(c)) {
    for (std::size_t i = 0; i < m_source.routes.size(); ++i) {
        const auto& r = m_source.routes[i];
        m_by_prefix[host_key(r.host) + r.path_prefix] = i;
    }
    for (std::size_t i = 0; i < m_source.services.size(); ++i) {
        m_services[m_source.services[i].id] = i;
    }
    if (m_source.tenants) {
        m_tenants = tenant_index(*m_source.tenants);
    }
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const {
    auto key = host_key(host);
    const auto host_length = key.size();
    key += path.substr(0, path.find_first_of("?#"));
    // Prefixes end with a slash, so only keys that end with one can match.
    auto end = key.rfind('/');
    while (end != std::string::npos && end >= host_length) {
        key.resize(end + 1);
        if (const auto found = m_by_prefix.find(key);
            found != m_by_prefix.end()) {
            return &m_source.routes[found->second];
        }
        if (end == 0) {
            break;
        }
        end = key.rfind('/', end - 1);
    }
    return nullptr;
}

const service* route_table::find(const base::service_id& id) const {
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr
                                     : &m_source.services[found->second];
}

std::vector<base::region_id>
route_table::homes_of(std::string_view host) const {
    const auto key = host_key(host);
    std::vector<base::region_id> homes;
    for (const auto& r : m_source.routes) {
        if (host_key(r.host) != key) {
            continue;
        }
        if (r.home_regions.empty()) {
            return {};
        }
        homes.insert(homes.end(), r.home_regions.begin(), r.home_regions.end());
    }
    return homes;
}

} // namespace pollenreel::routes
