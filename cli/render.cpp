#include "cli/render.hpp"

#include "cli/text_table.hpp"
#include "pollenreel/base/overloaded.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <stdexcept>

namespace pollenreel::cli {

namespace {

namespace json = boost::json;

// Boost.JSON writes every double in scientific form.
std::string text(const json::value& v) {
    if (v.is_double()) {
        return fmt::format("{:.4g}", v.get_double());
    }
    return v.is_string() ? std::string(v.get_string()) : json::serialize(v);
}

std::string text(const json::value& in, std::string_view key) {
    return text(in.at(key));
}

std::string joined(const json::value& list) {
    std::vector<std::string> all;
    for (const auto& one : list.as_array()) {
        all.push_back(text(one));
    }
    return fmt::format("{}", fmt::join(all, ", "));
}

std::string render_shift(const json::value& s) {
    auto line = fmt::format("{}  {} {} -> {} {}% cap {}Mbit/s over {}s  {}",
                            text(s, "id"), text(s, "service"), text(s, "from"),
                            text(s, "to"), text(s, "percent"),
                            text(s, "cap_megabits_per_second"),
                            text(s, "over_s"), text(s, "state"));
    if (s.as_object().contains("moved_percent")) {
        line += fmt::format("  {}% moved", text(s, "moved_percent"));
        const auto held_by = text(s, "held_by");
        if (held_by == "done") {
            line += ", done";
        } else if (held_by != "none") {
            line += ", held by " + held_by;
        }
    }
    return line + "\n";
}

std::string render_limit(const json::value& l) {
    return fmt::format("{} in {}: {}/s\n", text(l, "service"),
                       text(l, "region"), text(l, "requests_per_second"));
}

std::string titled(std::string_view title, const json::value& list,
                   std::string (*one)(const json::value&)) {
    std::string all;
    for (const auto& element : list.as_array()) {
        all += fmt::format("  {}", one(element));
    }
    return all.empty() ? all : fmt::format("{}:\n{}", title, all);
}

std::string render_commanded(const json::value& commanded) {
    std::string all;
    for (const auto* key :
         {"drained_targets", "drained_domains", "drained_instances"}) {
        const auto& list = commanded.at(key);
        if (!list.as_array().empty()) {
            std::string title(key);
            title.replace(title.find('_'), 1, " ");
            all += fmt::format("{}: {}\n", title, joined(list));
        }
    }
    all += titled("shifts", commanded.at("shifts"), render_shift);
    all += titled("limits", commanded.at("limits"), render_limit);
    return all;
}

// Instances in `state`.
std::string members_in(const json::value& status, std::string_view state) {
    std::vector<std::string> names;
    for (const auto& m : status.at("members").as_array()) {
        if (text(m, "state") == state) {
            names.push_back(text(m, "instance"));
        }
    }
    return fmt::format("{}", fmt::join(names, ", "));
}

std::string confirmed_text(const json::value& status) {
    const auto& ago = status.at("confirmed_ms_ago");
    return ago.is_null()
               ? "not confirmed as the newest yet"
               : fmt::format("confirmed as the newest {} ms ago", text(ago));
}

std::string render(const language::status&, const json::value& a) {
    const std::string all =
        fmt::format("version {} by {}: {}\n{}\n{}\n\n", text(a, "version"),
                    text(a, "author"), text(a, "summary"), render_in_force(a),
                    confirmed_text(a));
    text_table t({"INSTANCE", "DOMAIN", "STATE", "FOR", "APPLIED"});
    t.add(
        {text(a, "instance") + " (asked)", "", "live", "", text(a, "version")});
    for (const auto& m : a.at("members").as_array()) {
        t.add({text(m, "instance"), text(m, "failure_domain"), text(m, "state"),
               text(m, "since_ms") + " ms", text(m, "applied")});
    }
    const auto commanded = render_commanded(a.at("commanded"));
    return all + t.text() + (commanded.empty() ? "" : "\n" + commanded);
}

std::string render_entries(const json::value& a) {
    std::vector<std::string> names;
    for (const auto& i : a.at("entry_instances").as_array()) {
        names.push_back(text(i, "id") + " " + text(i, "address"));
    }
    return fmt::format(
        "entry instances, first to last: {}\n",
        names.empty() ? "none" : fmt::format("{}", fmt::join(names, ", ")));
}

std::string render_regions(const json::value& a) {
    text_table t({"REGION", "GOAL SHARE", "TARGETS", "EXCLUDED", "SLOTS",
                  "TAKING NEW WORK"});
    for (const auto& r : a.at("regions").as_array()) {
        t.add({text(r, "region"), text(r, "goal_percent") + "%",
               text(r, "targets"), text(r, "excluded_targets"),
               text(r, "slots"), text(r, "slots_taking_new_work")});
    }
    return t.text();
}

std::string render_where(const json::value& a) {
    return fmt::format("{} from {} (region {}), version {}\n{}\n{}",
                       text(a, "service"), text(a, "from"), text(a, "region"),
                       text(a, "version"), render_entries(a),
                       render_regions(a));
}

std::string render(const language::where&, const json::value& a) {
    return render_where(a);
}

std::string render(const language::why&, const json::value& a) {
    text_table t({"TARGET", "REGION", "DOMAIN", "SLOTS", "", "REASON"});
    for (const auto& one : a.at("targets").as_array()) {
        t.add({text(one, "target"), text(one, "region"),
               text(one, "failure_domain"), text(one, "slots"),
               one.at("candidate").as_bool() ? "in" : "OUT",
               text(one, "reason")});
    }
    auto all = render_where(a) + "\n" + t.text();
    all += titled("shifts", a.at("shifts"), render_shift);
    all += titled("limits", a.at("limits"), render_limit);
    if (!a.at("drained_instances").as_array().empty()) {
        all += fmt::format("drained instances: {}\n",
                           joined(a.at("drained_instances")));
    }
    return all;
}

std::string render(const language::list_shifts&, const json::value& a) {
    const auto all = titled("shifts", a.at("shifts"), render_shift);
    return all.empty() ? "no shifts\n" : all;
}

std::string render(const language::history&, const json::value& a) {
    text_table t({"VERSION", "WHEN", "WHO", "WHAT", "COMMAND ID"});
    for (const auto& c : a.at("changes").as_array()) {
        const auto* at = c.as_object().if_contains("at");
        t.add({text(c, "version"), at == nullptr ? "" : text(*at),
               text(c, "author"), text(c, "summary"), text(c, "command_id")});
    }
    return t.text();
}

std::string render(const language::report_burn&, const json::value& a) {
    return json::serialize(a) + "\n";
}

bool is_refusal(const json::value& a) {
    const auto* o = a.if_object();
    return o != nullptr && o->contains("outcome");
}

} // namespace

std::string render(const language::command& asked, const json::value& answer) {
    try {
        if (is_refusal(answer)) {
            return render_outcome(answer, "");
        }
        return std::visit(
            base::overloaded{
                [&](const language::query& q) {
                    return std::visit(
                        [&](const auto& one) { return render(one, answer); },
                        q);
                },
                [&](const language::change&) {
                    return json::serialize(answer) + "\n";
                },
            },
            asked);
    } catch (const std::exception&) {
        return json::serialize(answer) + "\n";
    }
}

std::string render_outcome(const json::value& a,
                           const std::string& command_id) {
    const auto outcome = text(a, "outcome");
    if (outcome == "accepted") {
        return fmt::format("accepted, version {}: {}\n", text(a, "version"),
                           text(a, "summary"));
    }
    if (outcome == "unchanged") {
        return fmt::format("unchanged, version {}: {}\n", text(a, "version"),
                           text(a, "why"));
    }
    if (outcome == "lost-race") {
        return fmt::format("refused: {} came first with version {} ({}); "
                           "look again and repeat if it still applies\n",
                           text(a, "author"), text(a, "version"),
                           text(a, "summary"));
    }
    if (outcome == "unknown") {
        return fmt::format("unknown: it may have been accepted; ask again "
                           "with --command-id {}\n",
                           command_id);
    }
    return fmt::format("refused: {}\n", text(a, "why"));
}

std::string render_in_force(const json::value& status) {
    std::string all = "in force on every live instance";
    if (!status.at("in_force").as_bool()) {
        all = fmt::format("not in force yet on {} instances",
                          text(status, "behind"));
        if (const auto missing = joined(status.at("missing"));
            !missing.empty()) {
            all += ": " + missing;
        }
        if (const auto unheard = joined(status.at("unheard"));
            !unheard.empty()) {
            all += "; nothing is known of regions " + unheard;
        }
    }
    for (const auto* state : {"suspect", "dead"}) {
        if (const auto names = members_in(status, state); !names.empty()) {
            all += fmt::format("; {}: {}", state, names);
        }
    }
    return all;
}

std::string render_plan(const json::value& a) {
    const auto& differences = a.at("differences").as_array();
    if (differences.empty()) {
        return fmt::format("no difference from version {}\n",
                           text(a, "version"));
    }
    std::string all = fmt::format("{} differences from version {}:\n",
                                  differences.size(), text(a, "version"));
    for (const auto& d : differences) {
        all += fmt::format("  {}\n", text(d));
    }
    const auto& objections = a.at("objections").as_array();
    if (objections.empty()) {
        return all + "nothing speaks against it\n";
    }
    all += "would be refused:\n";
    for (const auto& o : objections) {
        all += fmt::format("  {}\n", text(o));
    }
    return all;
}

std::string render_caret(const std::string& line, std::size_t column,
                         const std::string& problem) {
    return fmt::format("{}\n{:>{}}\n{}\n", line, "^", column, problem);
}

} // namespace pollenreel::cli
