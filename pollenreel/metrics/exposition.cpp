#include "pollenreel/metrics/exposition.hpp"

#include <fmt/format.h>

namespace pollenreel::metrics {

namespace {

constexpr std::string_view latency_name = "pollenreel_request_latency_seconds";
constexpr std::string_view good_name = "pollenreel_requests_good_total";

// Backslash, quote and line feed are escaped, as the format asks.
std::string escaped(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
        } else if (c == '\\' || c == '"') {
            out += '\\';
            out += c;
        } else {
            out += c;
        }
    }
    return out;
}

double seconds(std::chrono::nanoseconds t) {
    return std::chrono::duration<double>(t).count();
}

std::vector<label> labels_of(const series& s) {
    return {{"service", s.service.str()},
            {"kind", s.kind.str()},
            {"region", s.region.str()},
            {"outcome", to_string(s.outcome)}};
}

} // namespace

void exposition::head(std::string_view name, std::string_view help,
                      std::string_view type) {
    if (name != m_last_name) {
        m_last_name = name;
        m_text +=
            fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
    }
}

void exposition::line(std::string_view name, const std::vector<label>& labels,
                      std::string_view value) {
    m_text += name;
    for (std::size_t i = 0; i < labels.size(); ++i) {
        m_text += fmt::format("{}{}=\"{}\"", i == 0 ? "{" : ",", labels[i].name,
                              escaped(labels[i].value));
    }
    m_text += fmt::format("{} {}\n", labels.empty() ? "" : "}", value);
}

void exposition::counter(std::string_view name, std::string_view help,
                         std::uint64_t value,
                         const std::vector<label>& labels) {
    head(name, help, "counter");
    line(name, labels, fmt::format("{}", value));
}

void exposition::gauge(std::string_view name, std::string_view help,
                       double value, const std::vector<label>& labels) {
    head(name, help, "gauge");
    line(name, labels, fmt::format("{}", value));
}

void exposition::histogram(const series& s, const latency_distribution& d) {
    auto labels = labels_of(s);
    labels.push_back({"le", ""});
    const auto bucket_name = std::string(latency_name) + "_bucket";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        below += d.buckets[i];
        const bool edge = (i + 1) % buckets_per_octave == 0;
        const bool within = upper_edge(i) <= std::chrono::minutes(2);
        if (edge && within) {
            const auto text = fmt::format("{}", seconds(upper_edge(i)));
            labels.back().value = text;
            line(bucket_name, labels, fmt::format("{}", below));
        }
    }
    labels.back().value = "+Inf";
    line(bucket_name, labels, fmt::format("{}", d.count));
    labels.pop_back();
    line(std::string(latency_name) + "_sum", labels,
         fmt::format("{}", seconds(d.sum)));
    line(std::string(latency_name) + "_count", labels,
         fmt::format("{}", d.count));
}

void exposition::requests(const readings& all) {
    head(latency_name, "From a request's arrival to its answer.", "histogram");
    for (const auto& [key, counts] : all) {
        histogram(key, counts.latency);
    }
    for (const auto& [key, counts] : all) {
        counter(good_name, "Requests that met their kind's objective.",
                counts.good, labels_of(key));
    }
}

} // namespace pollenreel::metrics
