#include "pollenreel/fleet/directory.hpp"

#include <algorithm>

namespace pollenreel::fleet {

namespace {

// With a single instance, a caller would have no alternative when it fails.
constexpr std::size_t min_instances = 2;

template <class Predicate>
std::vector<base::endpoint>
find_caller_endpoints(const std::vector<instance>& live, std::size_t max_count,
                      Predicate predicate) {
    std::vector<base::endpoint> found;
    for (const auto& i : live) {
        if (found.size() < max_count && predicate(i)) {
            found.push_back(i.endpoint);
        }
    }
    return found;
}

} // namespace

std::vector<base::endpoint> select_instances(const std::vector<instance>& live,
                                             const caller_location& caller,
                                             std::size_t max_count) {
    auto near = find_caller_endpoints(live, max_count, [&](const auto& i) {
        return i.failure_domain == caller.failure_domain;
    });
    if (near.size() >= min_instances) {
        return near;
    }
    auto regional = find_caller_endpoints(live, max_count, [&](const auto& i) {
        return i.region == caller.region;
    });
    if (!regional.empty()) {
        return regional;
    }
    auto at_home = find_caller_endpoints(live, max_count, [&](const auto& i) {
        return std::find(caller.home_regions.begin(), caller.home_regions.end(),
                         i.region) != caller.home_regions.end();
    });
    if (!at_home.empty()) {
        return at_home;
    }
    return find_caller_endpoints(live, max_count,
                                 [](const auto&) { return true; });
}

} // namespace pollenreel::fleet
