#include "pollenreel/report_page/page.hpp"

#include "pollenreel/report_page/chart.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sodium.h>

#include <algorithm>

namespace pollenreel::report_page {

namespace {

using report::burn_row;

constexpr std::string_view style = R"(
body{font:15px/1.45 sans-serif;max-width:1220px;margin:2em auto;padding:0 1em;
color:#223}
table{border-collapse:collapse;margin:1em 0;width:100%}
th,td{padding:.3em .6em;text-align:right;border-bottom:1px solid #dde}
th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}
tr.fleet td{font-weight:bold;background:#f4f5f9}
td.page,tr.fleet td.page{background:#c22;color:#fff}
td.ticket,tr.fleet td.ticket{background:#f3c04b}
.note{color:#556}.charts{display:flex;flex-wrap:wrap}
)";

constexpr std::string_view explanation =
    "A burn rate of 1 uses up exactly the error budget that the objective "
    "leaves; above 1 the budget ends early. A request is good when a target "
    "answers it, without a server error, within the objective's latency. PAGE: "
    "14.4 or more over 1 h and 5 min, or 6 or more over 6 h and 30 min. "
    "TICKET: 1 or more over 3 days and 6 h. Latencies are since each "
    "instance's start, merged exactly from the instances' histograms; a "
    "quantile reads at most 6.25% too high and never too low.";

std::string escaped(std::string_view text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string base64(const std::string& data) {
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string out(sodium_base64_encoded_len(data.size(), variant), '\0');
    sodium_bin2base64(out.data(), out.size(),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      data.size(), variant);
    out.pop_back(); // the terminating zero
    return out;
}

std::string image(const chart& c) {
    return fmt::format("<img alt=\"{}\" src=\"data:image/svg+xml;base64,{}\">",
                       escaped(c.title), base64(to_svg(c)));
}

std::string region_name(const burn_row& r) {
    return r.key.region.empty() ? "all regions" : r.key.region.str();
}

std::string milliseconds(std::chrono::nanoseconds t) {
    return fmt::format("{:.1f}",
                       std::chrono::duration<double, std::milli>(t).count());
}

std::string_view alarm_class(report::alarm a) {
    switch (a) {
    case report::alarm::page:
        return "page";
    case report::alarm::ticket:
        return "ticket";
    case report::alarm::none:
        return "";
    }
    return "";
}

std::string table_row(const burn_row& r) {
    const auto& o = r.level.objective;
    auto row = fmt::format(
        "<tr{}><td>{}</td><td>{}</td><td>{}</td><td>{:g}% in {} ms</td>",
        r.key.region.empty() ? " class=\"fleet\"" : "",
        escaped(r.key.service.str()), escaped(r.key.kind.str()),
        escaped(region_name(r)), o.good_per_million / 10'000.0,
        o.latency.count());
    for (const auto& rate : r.rate) {
        row += rate ? fmt::format("<td>{:.2f}</td>", *rate) : "<td>–</td>";
    }
    const auto& l = r.level.latency;
    row += fmt::format("<td>{}</td><td>{}</td><td class=\"{}\">{}</td></tr>\n",
                       milliseconds(l.quantile(0.5)),
                       milliseconds(l.quantile(0.99)), alarm_class(r.alarm),
                       to_string(r.alarm));
    return row;
}

std::string table(const std::vector<burn_row>& rows) {
    std::string out =
        "<table><tr><th>Service</th><th>Kind</th><th>Region</th>"
        "<th>Objective</th><th>5 min</th><th>30 min</th><th>1 h</th>"
        "<th>6 h</th><th>3 days</th><th>p50 ms</th><th>p99 ms</th>"
        "<th>Alarm</th></tr>\n";
    for (const auto& r : rows) {
        out += table_row(r);
    }
    return out + "</table>\n";
}

template <std::size_t N>
chart_line line_of(const burn_row& r,
                   const std::array<report::level_counts, N>& newest_first) {
    chart_line line{region_name(r), {}};
    for (const auto& c : newest_first) {
        line.values.push_back(report::burn_rate(c, r.level.objective));
    }
    std::reverse(line.values.begin(), line.values.end());
    return line;
}

// The charts of one service and kind; `rows` are all of them.
std::string charts(const std::vector<burn_row>& rows, const burn_row& fleet) {
    chart hour{
        "burn rate, last hour, by minute", "60 min ago", {}, {1, 6, 14.4}};
    chart days{"burn rate, last 3 days, by hour", "72 h ago", {}, {1, 6, 14.4}};
    for (const auto& r : rows) {
        if (r.key.service == fleet.key.service &&
            r.key.kind == fleet.key.kind) {
            hour.lines.push_back(line_of(r, r.level.minutes));
            days.lines.push_back(line_of(r, r.level.hours));
        }
    }
    return fmt::format("<h2>{} / {}</h2>\n<div class=\"charts\">{}\n{}</div>\n",
                       escaped(fleet.key.service.str()),
                       escaped(fleet.key.kind.str()), image(hour), image(days));
}

std::string coverage(const page_input& in) {
    auto text = fmt::format("{} instances, counting for {:%H:%M:%S} or longer; "
                            "longer windows hold what was counted since.",
                            in.levels.instances.size(), in.levels.covered);
    if (!in.missing.empty()) {
        std::vector<std::string> names;
        for (const auto& id : in.missing) {
            names.push_back(escaped(id.str()));
        }
        text += fmt::format(" <b>Not in these figures: {}.</b>",
                            fmt::join(names, ", "));
    }
    return text;
}

} // namespace

std::string to_html(const page_input& in) {
    const auto rows = report::burn_rows(in.levels);
    std::string body;
    for (const auto& r : rows) {
        if (r.key.region.empty()) {
            body += charts(rows, r);
        }
    }
    return fmt::format(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>Service-level burn</title><style>{}</style></head><body>\n"
        "<h1>Service-level burn</h1>\n"
        "<p>Written {:%F %T} UTC. {}</p>\n{}<p class=\"note\">{}</p>\n{}"
        "</body></html>\n",
        style, std::chrono::floor<std::chrono::seconds>(in.written),
        coverage(in), table(rows), explanation, body);
}

} // namespace pollenreel::report_page
