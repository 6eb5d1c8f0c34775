#include "pollenreel/report/service_levels.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <stdexcept>

namespace pollenreel::report {

namespace {

namespace json = boost::json;

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override {
        return "report";
    }
    [[nodiscard]] std::string message(int) const override {
        return "malformed service levels";
    }
};

template <std::size_t N>
json::array counts_json(const std::array<level_counts, N>& counts) {
    json::array all;
    for (const auto& c : counts) {
        all.emplace_back(json::array{c.good, c.total});
    }
    return all;
}

std::uint64_t number(const json::value& v) {
    return v.to_number<std::uint64_t>();
}

template <std::size_t N>
void read_counts(const json::value& v, std::array<level_counts, N>& into) {
    const auto& all = v.as_array();
    if (all.size() != N) {
        throw std::runtime_error("a list of counts has another length");
    }
    for (std::size_t i = 0; i < N; ++i) {
        into.at(i) = {number(all[i].at(0)), number(all[i].at(1))};
    }
}

// Only the buckets in use, as [index, count].
json::object latency_json(const metrics::latency_distribution& d) {
    json::array buckets;
    for (std::size_t i = 0; i < d.buckets.size(); ++i) {
        if (d.buckets.at(i) > 0) {
            buckets.emplace_back(json::array{i, d.buckets.at(i)});
        }
    }
    return {{"count", d.count},
            {"sum_ns", d.sum.count()},
            {"greatest_ns", d.greatest.count()},
            {"buckets", buckets}};
}

metrics::latency_distribution read_latency(const json::value& v) {
    using std::chrono::nanoseconds;
    metrics::latency_distribution d;
    d.count = number(v.at("count"));
    d.sum = nanoseconds(v.at("sum_ns").to_number<std::int64_t>());
    d.greatest = nanoseconds(v.at("greatest_ns").to_number<std::int64_t>());
    for (const auto& b : v.at("buckets").as_array()) {
        d.buckets.at(number(b.at(0))) = number(b.at(1));
    }
    return d;
}

json::object level_json(const level_key& key, const level& l) {
    return {{"service", key.service.str()},
            {"kind", key.kind.str()},
            {"region", key.region.str()},
            {"good_per_million", l.objective.good_per_million},
            {"latency_ms", l.objective.latency.count()},
            {"windows", counts_json(l.in_window)},
            {"minutes", counts_json(l.minutes)},
            {"hours", counts_json(l.hours)},
            {"latency", latency_json(l.latency)}};
}

std::string text(const json::value& v, std::string_view key) {
    return std::string(v.at(key).as_string());
}

void read_level(const json::value& v, service_levels& into) {
    const level_key key{base::service_id(text(v, "service")),
                        base::kind_id(text(v, "kind")),
                        base::region_id(text(v, "region"))};
    level l;
    l.objective = {static_cast<std::uint32_t>(number(v.at("good_per_million"))),
                   std::chrono::milliseconds(number(v.at("latency_ms")))};
    read_counts(v.at("windows"), l.in_window);
    read_counts(v.at("minutes"), l.minutes);
    read_counts(v.at("hours"), l.hours);
    l.latency = read_latency(v.at("latency"));
    into.levels.emplace(key, l);
}

template <std::size_t N>
void add_counts(std::array<level_counts, N>& to,
                const std::array<level_counts, N>& from) {
    for (std::size_t i = 0; i < N; ++i) {
        to.at(i).add(from.at(i));
    }
}

} // namespace

std::error_code make_error_code(error e) {
    static const category instance;
    return {static_cast<int>(e), instance};
}

void level::add(const level& other) {
    objective = other.objective;
    add_counts(in_window, other.in_window);
    add_counts(minutes, other.minutes);
    add_counts(hours, other.hours);
    latency.merge(other.latency);
}

void service_levels::add(const service_levels& other) {
    covered =
        instances.empty() ? other.covered : std::min(covered, other.covered);
    instances.insert(instances.end(), other.instances.begin(),
                     other.instances.end());
    for (const auto& [key, l] : other.levels) {
        levels[key].add(l);
    }
}

json::value to_json(const service_levels& s) {
    json::array instances;
    for (const auto& id : s.instances) {
        instances.emplace_back(id.str());
    }
    json::array levels;
    for (const auto& [key, l] : s.levels) {
        levels.emplace_back(level_json(key, l));
    }
    return json::object{{"instances", instances},
                        {"covered_s", s.covered.count()},
                        {"levels", levels}};
}

base::result<service_levels> read_service_levels(const json::value& v) {
    try {
        service_levels read;
        for (const auto& id : v.at("instances").as_array()) {
            read.instances.emplace_back(std::string(id.as_string()));
        }
        read.covered = std::chrono::seconds(number(v.at("covered_s")));
        for (const auto& l : v.at("levels").as_array()) {
            read_level(l, read);
        }
        return read;
    } catch (const std::exception& e) {
        return base::failure{make_error_code(error::malformed), e.what()};
    }
}

} // namespace pollenreel::report
