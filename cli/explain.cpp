#include "cli/explain.hpp"

#include "cli/options.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <sstream>

namespace pollenreel::cli {

namespace {

namespace json = boost::json;

struct event {
    std::string time;
    std::string file;
    json::object fields;
};

std::string value(const json::object& o, std::string_view name) {
    const auto* v = o.if_contains(name);
    if (v == nullptr || v->is_null()) {
        return "unknown";
    }
    if (v->is_double()) {
        return fmt::format("{}", v->get_double());
    }
    if (const auto* s = v->if_string()) {
        return s->empty() ? "none" : std::string(*s);
    }
    return json::serialize(*v);
}

// What is known of the moment at which something was decided.
std::string ages(const json::object& o) {
    return fmt::format("configuration {}, view {} ms old", value(o, "config"),
                       value(o, "view_age_ms"));
}

std::string chosen(const json::object& o) {
    return fmt::format(
        "attempt {} ({}) goes to target {} of {}: {} in its object's order{}, "
        "{} requests there of which {} ours, load told {} ms ago; expected "
        "{} ms of which {} ms wait, {} ms left; {} candidates; {}",
        value(o, "attempt"), value(o, "cause"), value(o, "target"),
        value(o, "service"), value(o, "rank"),
        value(o, "abroad") == "true" ? ", in another region" : "",
        value(o, "occupancy"), value(o, "in_flight"), value(o, "load_age_ms"),
        value(o, "expected_ms"), value(o, "wait_ms"), value(o, "time_left_ms"),
        value(o, "candidates"), ages(o));
}

std::string failed(const json::object& o) {
    return fmt::format("attempt {} at target {} failed after {} ms: {}, {}",
                       value(o, "attempt"), value(o, "target"),
                       value(o, "took_ms"), value(o, "reason"),
                       value(o, "outcome"));
}

std::string abandoned(const json::object& o) {
    return fmt::format("attempt {} at target {} was given up after {} ms: {} "
                       "bytes sent, {} of them not acknowledged",
                       value(o, "attempt"), value(o, "target"),
                       value(o, "age_ms"), value(o, "bytes_handed_over"),
                       value(o, "bytes_unacknowledged"));
}

std::string answered(const json::object& o) {
    return fmt::format("answered with {} by attempt {} after {} ms{}",
                       value(o, "status"), value(o, "attempt"),
                       value(o, "took_ms"),
                       value(o, "late") == "true" ? ", late" : "");
}

std::string refused(const json::object& o) {
    auto text = fmt::format(
        "the instance answered itself after {} ms and {} attempts: {}, {}",
        value(o, "waited_ms"), value(o, "attempts"), value(o, "reason"),
        value(o, "outcome"));
    if (value(o, "retry_after_ms") != "unknown") {
        text += fmt::format("; retry after {} ms", value(o, "retry_after_ms"));
    }
    if (value(o, "best_target") != "unknown") {
        text += fmt::format("; best target {} with {} requests, expected {} ms",
                            value(o, "best_target"), value(o, "best_occupancy"),
                            value(o, "best_expected_ms"));
    }
    return text + "; " + ages(o);
}

std::string left(const json::object& o) {
    return fmt::format("the caller left after {} ms", value(o, "waited_ms"));
}

std::string in_words(const json::object& o) {
    using teller = std::string (*)(const json::object&);
    static const std::map<std::string, teller, std::less<>> tellers = {
        {"target_chosen", chosen},      {"attempt_failed", failed},
        {"request_answered", answered}, {"request_refused", refused},
        {"caller_left", left},          {"attempt_abandoned", abandoned},
    };
    const auto found = tellers.find(value(o, "event"));
    return found == tellers.end() ? json::serialize(o) : found->second(o);
}

// Empty: not a log line.
std::optional<json::object> read_line(const std::string& line) {
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    json::error_code bad;
    auto parsed = json::parse(line.substr(brace), bad);
    if (bad || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

} // namespace

story explain(const std::string& request, const std::vector<log_file>& files) {
    story told;
    std::vector<event> events;
    for (const auto& file : files) {
        std::istringstream lines(file.text);
        for (std::string line; std::getline(lines, line);) {
            auto o = read_line(line);
            if (!o) {
                told.unreadable += line.empty() ? 0 : 1;
            } else if (o->contains("request") &&
                       value(*o, "request") == request) {
                auto time = value(*o, "time");
                events.push_back({std::move(time), file.name, std::move(*o)});
            }
        }
    }
    std::stable_sort(
        events.begin(), events.end(),
        [](const auto& a, const auto& b) { return a.time < b.time; });
    for (const auto& e : events) {
        told.text +=
            fmt::format("{}  {}  {}\n", e.time, e.file, in_words(e.fields));
    }
    told.events = events.size();
    return told;
}

exit_code run_explain(int argc, char** argv) {
    TCLAP::CmdLine cmd("Tells what became of one request, from the logs of "
                       "the instances that it met. Exit status: 0 told, 1 no "
                       "line names the request, 64 bad usage.",
                       ' ', POLLENREEL_VERSION);
    const TCLAP::UnlabeledValueArg<std::string> request(
        "request", "Id of the request, as its caller sent it", true, "",
        "REQUEST-ID", cmd);
    const TCLAP::UnlabeledMultiArg<std::string> paths(
        "logs", "Log files of instances", true, "FILE", cmd);
    cmd.parse(argc, argv);
    std::vector<log_file> files;
    for (const auto& path : paths.getValue()) {
        files.push_back({path, read_whole(path)});
    }
    const auto told = explain(request.getValue(), files);
    fmt::print("{}", told.text);
    if (told.unreadable > 0) {
        fmt::print(stderr, "{} lines are no whole log lines\n",
                   told.unreadable);
    }
    if (told.events == 0) {
        fmt::print(stderr,
                   "no line names request {}: it met another instance, or its "
                   "lines were held back (see lines_held_back)\n",
                   request.getValue());
        return exit_code::refused;
    }
    return exit_code::done;
}

} // namespace pollenreel::cli
