// Turns service levels into burn rates and alarms. A burn rate of 1 uses up
// exactly the error budget that the objective leaves; 14.4 uses up 2% of a
// 30-day budget in an hour.
//
//   for (const auto& row : report::burn_rows(levels)) show(row);
#pragma once

#include "pollenreel/report/service_levels.hpp"

#include <optional>
#include <string_view>

namespace pollenreel::report {

enum class alarm { none, ticket, page };
[[nodiscard]] std::string_view to_string(alarm a); // "-", "TICKET", "PAGE"

// Bad requests as a share of all, over the share that the objective allows.
// Empty without requests.
[[nodiscard]] std::optional<double> burn_rate(const level_counts& c,
                                              const declarations::objective& o);

// The alarm that is due: page at 14.4 over 1 h and 5 min, or 6 over 6 h and
// 30 min; ticket at 1 over 3 days and 6 h. The long window says that it
// matters, the short one that it still goes on.
[[nodiscard]] alarm alarm_of(const level& l);

struct burn_row {
    level_key key; // an empty region: all regions together
    report::level level;
    std::array<std::optional<double>, windows.size()> rate{};
    report::alarm alarm = alarm::none;
};

// For each service and kind the whole fleet, then each region.
[[nodiscard]] std::vector<burn_row> burn_rows(const service_levels& s);

} // namespace pollenreel::report
