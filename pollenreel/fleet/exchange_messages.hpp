// What instances exchange twice a second: their counts of tenants' requests and
// the loads that targets reported to them. An instance reports to the hub of
// its region and receives news; hubs exchange the sums of their regions.
#pragma once

#include "pollenreel/base/ids.hpp"
#include "pollenreel/quota/messages.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace pollenreel::fleet {

// The load that a target reported in a response to some instance.
struct shared_load {
    std::uint64_t target = 0; // XXH64 of its id with seed 0
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slowdown_percent = 100;
    std::chrono::milliseconds age{}; // since the response
    std::int64_t incarnation = 0;    // of the target

    friend bool operator==(const shared_load&, const shared_load&) = default;
};

struct exchange_report {
    quota::usage_report usage;
    std::vector<shared_load> loads;
};

struct exchange_news {
    quota::usage_news usage;
    std::vector<shared_load> loads;
    // Differs between starts of the hub, which loses what it was told.
    std::uint64_t run = 0;
};

struct exchange_sums {
    quota::region_sums usage;
    std::vector<shared_load> loads;
};

} // namespace pollenreel::fleet
