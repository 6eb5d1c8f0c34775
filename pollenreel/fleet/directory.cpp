#include "pollenreel/fleet/directory.hpp"

namespace pollenreel::fleet {

namespace {

// A single instance would leave a caller nowhere to go when it fails.
constexpr std::size_t enough = 2;

template <class Predicate>
std::vector<base::endpoint> addresses(const std::vector<instance>& live,
                                      std::size_t most, Predicate wanted) {
    std::vector<base::endpoint> found;
    for (const auto& i : live) {
        if (found.size() < most && wanted(i)) {
            found.push_back(i.callers);
        }
    }
    return found;
}

} // namespace

std::vector<base::endpoint> instances_for(const std::vector<instance>& live,
                                          const caller_place& caller,
                                          std::size_t most) {
    auto near = addresses(live, most, [&](const auto& i) {
        return i.failure_domain == caller.failure_domain;
    });
    if (near.size() >= enough) {
        return near;
    }
    auto regional = addresses(
        live, most, [&](const auto& i) { return i.region == caller.region; });
    if (!regional.empty()) {
        return regional;
    }
    return addresses(live, most, [](const auto&) { return true; });
}

} // namespace pollenreel::fleet
