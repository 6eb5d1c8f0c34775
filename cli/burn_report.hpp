// `report burn`: asks every instance that is named for its service levels,
// adds them up and shows the burn.
#pragma once

#include "cli/options.hpp"
#include "pollenreel/report/burn.hpp"

#include <string>
#include <vector>

namespace pollenreel::cli {

// Returns done when at least one instance answered.
[[nodiscard]] exit_code burn_report(const options& o);

// The report as a table, and who is not in it.
[[nodiscard]] std::string
render_burn(const report::service_levels& levels,
            const std::vector<base::instance_id>& missing);

} // namespace pollenreel::cli
