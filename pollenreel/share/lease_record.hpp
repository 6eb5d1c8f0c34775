// The value that a region's share holder keeps in the store: the holder of the
// lease, the shares it may have granted, and the progress of the region's
// shifts. It outlives its holder, so that a successor knows which shares may be
// in use.
#pragma once

#include "pollenreel/share/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::share {

struct lease_record {
    std::uint64_t epoch = 0; // increases with each new holder
    incarnation_id holder;
    std::uint64_t renewal = 0;           // increases with each write
    bool released = false;               // a successor need not wait
    std::map<resource_id, ppm> promised; // most in use of each resource
    std::map<base::shift_id, ppm> progress;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

[[nodiscard]] std::string encode(const lease_record& r);
// Empty if `text` is not a valid record.
[[nodiscard]] std::optional<lease_record>
decode_record(const base::region_id& region, std::string_view text);

} // namespace pollenreel::share
