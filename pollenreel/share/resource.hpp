// What is shared by the whole fleet under one cap, and how much of a cap an
// instance may use. Shares are parts of a cap, not rates: when operators
// change the cap, every share changes with it on the instance that applies
// the change.
//
//   auto r = share::region_pair(khomas, erongo);
//   auto mine = share::scale(400'000'000, share::parts{250'000});
#pragma once

#include "pollenreel/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::share {

// Parts of a million.
struct ppm {
    std::uint32_t value = 0;

    friend auto operator<=>(const ppm&, const ppm&) = default;
    friend ppm operator+(ppm a, ppm b) { return {a.value + b.value}; }
    // Zero at the least.
    friend ppm operator-(ppm a, ppm b) {
        return {a.value > b.value ? a.value - b.value : 0};
    }
};
constexpr ppm whole{1'000'000};

// `p` of `cap`, rounded down.
[[nodiscard]] std::uint64_t scale(std::uint64_t cap, ppm p);

enum class resource_kind { region_pair, service_limit };

struct resource_id {
    base::region_id owner; // the region whose holder grants it
    resource_kind kind = resource_kind::region_pair;
    std::string name; // the region at the other end, or the service

    friend auto operator<=>(const resource_id&, const resource_id&) = default;
};

// What entries in `from` exchange with targets in `to`.
[[nodiscard]] resource_id region_pair(const base::region_id& from,
                                      const base::region_id& to);
// Requests that the targets of `service` in `region` are given.
[[nodiscard]] resource_id service_limit(const base::service_id& service,
                                        const base::region_id& region);

// "pair/erongo", "limit/catalogue": the form within one owner's record.
[[nodiscard]] std::string to_key(const resource_id& r);
[[nodiscard]] std::optional<resource_id> from_key(const base::region_id& owner,
                                                  std::string_view key);

} // namespace pollenreel::share
