#include "cli/burn_report.hpp"

#include "cli/text_table.hpp"
#include "pollenreel/report_page/page.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>

namespace pollenreel::cli {

namespace {

namespace json = boost::json;

struct collected {
    report::service_levels levels;
    std::vector<base::instance_id> missing; // live, but not in `levels`
};

// Live instances as the first one that answers knows them.
std::vector<base::instance_id> live_instances(const options& o) {
    const instance_client client(o.instances, o.who);
    const auto r = client.call("POST", "/v1/command", "status");
    std::vector<base::instance_id> live;
    if (r.code == exit_code::done) {
        live.emplace_back(std::string(r.body.at("instance").as_string()));
        for (const auto& m : r.body.at("members").as_array()) {
            if (m.at("state") == "live") {
                live.emplace_back(std::string(m.at("instance").as_string()));
            }
        }
    }
    return live;
}

collected collect(const options& o) {
    collected all;
    for (const auto& endpoint : o.instances) {
        const instance_client client({endpoint}, o.who);
        const auto r = client.call("GET", "/v1/service-levels", "");
        if (r.code != exit_code::done) {
            fmt::print(stderr, "{}\n",
                       r.problem.empty() ? endpoint.str() + ": refused"
                                         : r.problem);
            continue;
        }
        auto read = report::read_service_levels(r.body);
        if (!read) {
            fmt::print(stderr, "{}: {}\n", endpoint.str(), read.error().text());
            continue;
        }
        const auto& ids = all.levels.instances;
        const bool again = std::find(ids.begin(), ids.end(),
                                     read.value().instances.at(0)) != ids.end();
        if (!again) {
            all.levels.add(read.value());
        }
    }
    for (auto& id : live_instances(o)) {
        const auto& ids = all.levels.instances;
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            all.missing.push_back(std::move(id));
        }
    }
    return all;
}

std::string milliseconds(std::chrono::nanoseconds t) {
    return fmt::format("{:.1f}",
                       std::chrono::duration<double, std::milli>(t).count());
}

std::string names(const std::vector<base::instance_id>& ids) {
    std::vector<std::string> all;
    all.reserve(ids.size());
    for (const auto& id : ids) {
        all.push_back(id.str());
    }
    return fmt::format("{}", fmt::join(all, ", "));
}

json::object row_json(const report::burn_row& r) {
    json::array rates;
    for (std::size_t i = 0; i < report::windows.size(); ++i) {
        const auto& c = r.level.in_window.at(i);
        const auto& rate = r.rate.at(i);
        rates.emplace_back(json::object{
            {"window_s", report::windows.at(i).count()},
            {"good", c.good},
            {"total", c.total},
            {"burn_rate", rate ? json::value(*rate) : json::value(nullptr)}});
    }
    const auto& l = r.level.latency;
    return {{"service", r.key.service.str()},
            {"kind", r.key.kind.str()},
            {"region", r.key.region.str()},
            {"good_per_million", r.level.objective.good_per_million},
            {"objective_latency_ms", r.level.objective.latency.count()},
            {"windows", rates},
            {"latency_p50_ns", l.quantile(0.5).count()},
            {"latency_p99_ns", l.quantile(0.99).count()},
            {"alarm", to_string(r.alarm)}};
}

json::value burn_json(const collected& all) {
    json::array rows;
    for (const auto& r : report::burn_rows(all.levels)) {
        rows.emplace_back(row_json(r));
    }
    json::array instances;
    for (const auto& id : all.levels.instances) {
        instances.emplace_back(id.str());
    }
    json::array missing;
    for (const auto& id : all.missing) {
        missing.emplace_back(id.str());
    }
    return json::object{{"instances", instances},
                        {"missing", missing},
                        {"covered_s", all.levels.covered.count()},
                        {"rows", rows}};
}

void write_page(const options& o, const collected& all) {
    std::ofstream file(o.html_path);
    file << report_page::to_html(
        {all.levels, all.missing, std::chrono::system_clock::now()});
    file.close();
    if (!file) {
        throw std::runtime_error("cannot write " + o.html_path);
    }
    fmt::print(stderr, "wrote {}\n", o.html_path);
}

} // namespace

exit_code burn_report(const options& o) {
    const auto all = collect(o);
    if (all.levels.instances.empty()) {
        return exit_code::unreachable;
    }
    if (!o.html_path.empty()) {
        write_page(o, all);
    }
    if (o.json) {
        fmt::print("{}\n", json::serialize(burn_json(all)));
    } else {
        fmt::print("{}", render_burn(all.levels, all.missing));
    }
    return exit_code::done;
}

std::string render_burn(const report::service_levels& levels,
                        const std::vector<base::instance_id>& missing) {
    text_table t({"SERVICE", "KIND", "REGION", "GOOD", "WITHIN", "5 MIN",
                  "30 MIN", "1 H", "6 H", "3 DAYS", "P50 MS", "P99 MS",
                  "ALARM"});
    for (const auto& r : report::burn_rows(levels)) {
        const auto& o = r.level.objective;
        text_table::row cells = {
            r.key.service.str(), r.key.kind.str(),
            r.key.region.empty() ? "(all)" : r.key.region.str(),
            fmt::format("{:g}%", o.good_per_million / 10'000.0),
            fmt::format("{} ms", o.latency.count())};
        for (const auto& rate : r.rate) {
            cells.push_back(rate ? fmt::format("{:.2f}", *rate) : "-");
        }
        cells.push_back(milliseconds(r.level.latency.quantile(0.5)));
        cells.push_back(milliseconds(r.level.latency.quantile(0.99)));
        cells.emplace_back(to_string(r.alarm));
        t.add(std::move(cells));
    }
    auto text = fmt::format("burn rates of {} instances, counting for "
                            "{:%H:%M:%S} or longer\n\n{}",
                            levels.instances.size(), levels.covered, t.text());
    if (levels.levels.empty()) {
        text += "no requests were counted yet\n";
    }
    if (!missing.empty()) {
        text += fmt::format("\nnot in these figures: {}; name their addresses "
                            "with --instance\n",
                            names(missing));
    }
    return text;
}

} // namespace pollenreel::cli
