#include "pollenreel/feed/watchers.hpp"

#include "pollenreel/feed/patch.hpp"

#include <algorithm>

namespace pollenreel::feed {

std::vector<member> watchers_of(const base::region_id& region,
                                const std::vector<member>& live) {
    std::vector<std::pair<std::uint64_t, const member*>> ranked;
    for (const auto& m : live) {
        if (m.region == region) {
            const auto key = region.str() + '\0' + m.instance.str();
            ranked.emplace_back(checksum(key), &m);
        }
    }
    const auto count = std::min(watchers_per_region, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::vector<member> first;
    for (std::size_t i = 0; i < count; ++i) {
        first.push_back(*ranked[i].second);
    }
    return first;
}

} // namespace pollenreel::feed
