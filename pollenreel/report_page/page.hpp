// Writes the burn report as one HTML page that needs nothing besides itself.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/report/burn.hpp"

#include <string>
#include <vector>

namespace pollenreel::report_page {

struct page_input {
    report::service_levels levels;
    std::vector<base::instance_id> missing; // that gave no answer
    base::wall_time written;
};

[[nodiscard]] std::string to_html(const page_input& in);

} // namespace pollenreel::report_page
