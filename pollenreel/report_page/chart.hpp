// Draws lines over time as SVG, through Cairo.
//
//   report_page::chart c{"burn rate, last hour", "60 min ago", lines, {1, 6}};
//   const std::string svg = report_page::to_svg(c);
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pollenreel::report_page {

struct chart_line {
    std::string name;
    std::vector<std::optional<double>> values; // oldest first; empty: a gap
};

struct chart {
    std::string title;
    std::string oldest; // what the left end of the time axis is called
    std::vector<chart_line> lines;  // the first is drawn boldest
    std::vector<double> thresholds; // drawn where they fit the values
};

// A whole SVG document, 560 by 240 pixels.
[[nodiscard]] std::string to_svg(const chart& c);

} // namespace pollenreel::report_page
