#include "pollenreel/report_page/chart.hpp"
#include "pollenreel/report_page/page.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;

namespace {

report_page::page_input input() {
    report_page::page_input in;
    in.levels.instances = {base::instance_id("i-1")};
    in.missing = {base::instance_id("i-2")};
    auto& l = in.levels.levels[{base::service_id("a<b"), base::kind_id("read"),
                                base::region_id("north")}];
    l.objective = {990'000, std::chrono::milliseconds(500)};
    l.in_window.fill({800, 1000}); // burn rate 20
    l.minutes[0] = {800, 1000};
    l.hours[0] = {800, 1000};
    return in;
}

std::size_t count(const std::string& in, std::string_view what) {
    std::size_t n = 0;
    for (auto at = in.find(what); at != std::string::npos;
         at = in.find(what, at + 1)) {
        ++n;
    }
    return n;
}

} // namespace

TEST_CASE("the page says what it must and needs nothing besides itself") {
    const auto html = report_page::to_html(input());
    struct row {
        const char* text;
        std::size_t times;
    };
    const row rows[] = {
        {"<td>a&lt;b</td><td>read</td><td>all regions</td>"
         "<td>99% in 500 ms</td><td>20.00</td>",
         1},
        {"<td>north</td>", 1},
        {"<td class=\"page\">PAGE</td>", 2},
        {"Not in these figures: i-2.", 1},
        {"src=\"data:image/svg+xml;base64,", 2},
        {"src=", 2},
        {"href=", 0},
        {"a<b", 0},
        {"<script", 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.text);
        CHECK(count(html, r.text) == r.times);
    }
}

TEST_CASE("a chart is a whole SVG document also without values") {
    const report_page::chart rows[] = {
        {"none", "ago", {}, {}},
        {"gaps", "ago", {{"x", {std::nullopt, 1.0, std::nullopt}}}, {1}},
        {"one", "ago", {{"x", {2.0}}}, {1, 100}},
    };
    for (const auto& c : rows) {
        CAPTURE(c.title);
        const auto svg = report_page::to_svg(c);
        CHECK(svg.find("<svg") != std::string::npos);
        CHECK(svg.find("</svg>") != std::string::npos);
    }
}
