// The value that a region's share-holder keeps in the store: who holds the
// lease, what it may have granted, and how far the region's shifts have come.
// Stays when its holder dies, so that a successor knows what may be in use.
#pragma once

#include "pollenreel/share/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollenreel::share {

struct lease_record {
    std::uint64_t epoch = 0; // grows with each new holder
    incarnation_id holder;
    std::uint64_t renewal = 0;           // grows with each write of the holder
    bool released = false;               // given up: a successor need not wait
    std::map<resource_id, ppm> promised; // the most in use of each resource
    std::map<base::shift_id, ppm> progress;

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

[[nodiscard]] std::string encode(const lease_record& r);
// Empty for text that is no record.
[[nodiscard]] std::optional<lease_record>
decode_record(const base::region_id& region, std::string_view text);

} // namespace pollenreel::share
