// Identifies a resource that the whole fleet shares under one cap, and
// expresses shares of it. A share is a fraction of the cap, not a rate, so that
// a changed cap changes every share as soon as an instance applies it.
//
//   auto r = share::region_pair(khomas, erongo);
//   auto rate = share::scale(400'000'000, share::ppm{250'000});
#pragma once

#include "pollenreel/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::share {

// A fraction in parts per million.
struct ppm {
    std::uint32_t value = 0;

    friend auto operator<=>(const ppm&, const ppm&) = default;
    friend ppm operator+(ppm a, ppm b) { return {a.value + b.value}; }
    // Saturates at zero.
    friend ppm operator-(ppm a, ppm b) {
        return {a.value > b.value ? a.value - b.value : 0};
    }
};
constexpr ppm whole{1'000'000};

// Returns the fraction `p` of `cap`, rounded down.
[[nodiscard]] std::uint64_t scale(std::uint64_t cap, ppm p);

enum class resource_kind { region_pair, service_limit };

struct resource_id {
    base::region_id owner; // region whose holder grants shares
    resource_kind kind = resource_kind::region_pair;
    std::string name; // the other region, or the service

    friend auto operator<=>(const resource_id&, const resource_id&) = default;
};

// Traffic between entries in `from` and targets in `to`.
[[nodiscard]] resource_id region_pair(const base::region_id& from,
                                      const base::region_id& to);
// Requests sent to the targets of `service` in `region`.
[[nodiscard]] resource_id service_limit(const base::service_id& service,
                                        const base::region_id& region);

// Key of a resource within its owner's record, such as "pair/erongo" or
// "limit/catalogue".
[[nodiscard]] std::string to_key(const resource_id& r);
// Empty if the key has no known prefix.
[[nodiscard]] std::optional<resource_id> from_key(const base::region_id& owner,
                                                  std::string_view key);

} // namespace pollenreel::share
