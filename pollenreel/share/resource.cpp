#include "pollenreel/share/resource.hpp"

namespace pollenreel::share {

namespace {

constexpr std::string_view pair_prefix = "pair/";
constexpr std::string_view limit_prefix = "limit/";

} // namespace

std::uint64_t scale(std::uint64_t cap, ppm p) {
    const auto high = cap / whole.value * p.value;
    const auto low = cap % whole.value * p.value / whole.value;
    return high + low;
}

resource_id region_pair(const base::region_id& from,
                        const base::region_id& to) {
    return {from, resource_kind::region_pair, to.str()};
}

resource_id service_limit(const base::service_id& service,
                          const base::region_id& region) {
    return {region, resource_kind::service_limit, service.str()};
}

std::string to_key(const resource_id& r) {
    const auto prefix =
        r.kind == resource_kind::region_pair ? pair_prefix : limit_prefix;
    return std::string(prefix) + r.name;
}

std::optional<resource_id> from_key(const base::region_id& owner,
                                    std::string_view key) {
    for (const auto kind :
         {resource_kind::region_pair, resource_kind::service_limit}) {
        const auto prefix =
            kind == resource_kind::region_pair ? pair_prefix : limit_prefix;
        if (key.starts_with(prefix)) {
            return resource_id{owner, kind,
                               std::string(key.substr(prefix.size()))};
        }
    }
    return std::nullopt;
}

} // namespace pollenreel::share
