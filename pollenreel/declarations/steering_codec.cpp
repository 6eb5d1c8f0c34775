#include "pollenreel/declarations/steering_codec.hpp"

#include <array>
#include <limits>
#include <string_view>

namespace pollenreel::declarations {

namespace {

namespace json = boost::json;
using internal::json_reader;

constexpr std::array<std::string_view, 3> state_names = {"active", "paused",
                                                         "reversing"};
constexpr std::uint64_t all_percent = 100;
constexpr std::uint64_t any = std::numeric_limits<std::int64_t>::max();

template <class Id>
json::array names(const std::set<Id>& ids) {
    json::array a;
    for (const auto& id : ids) {
        a.emplace_back(id.str());
    }
    return a;
}

template <class Id>
void read_names(const json_reader& r, std::set<Id>& into) {
    r.each([&](const json_reader& id) { into.insert(Id(id.text())); });
}

shift_state read_state(const json_reader& r) {
    const auto text = r.text();
    for (std::size_t i = 0; i < state_names.size(); ++i) {
        if (text == state_names.at(i)) {
            return static_cast<shift_state>(i);
        }
    }
    r.fail(error::out_of_range, "expected active, paused or reversing");
}

shift read_shift(const json_reader& r) {
    r.allow_keys({"id", "service", "from", "to", "percent",
                  "cap_megabits_per_second", "over_s", "state"});
    shift s;
    s.id = base::shift_id(r.at("id").text());
    s.service = base::service_id(r.at("service").text());
    s.from = base::region_id(r.at("from").text());
    s.to = base::region_id(r.at("to").text());
    s.percent =
        static_cast<std::uint32_t>(r.at("percent").number(0, all_percent));
    s.cap_megabits_per_second = r.at("cap_megabits_per_second").number(0, any);
    s.over = std::chrono::seconds(r.at("over_s").number(0, any));
    s.state = read_state(r.at("state"));
    return s;
}

limit read_limit(const json_reader& r) {
    r.allow_keys({"service", "region", "requests_per_second"});
    return {base::service_id(r.at("service").text()),
            base::region_id(r.at("region").text()),
            r.at("requests_per_second").number(0, any)};
}

json::object shift_json(const shift& s) {
    return {{"id", s.id.str()},
            {"service", s.service.str()},
            {"from", s.from.str()},
            {"to", s.to.str()},
            {"percent", s.percent},
            {"cap_megabits_per_second", s.cap_megabits_per_second},
            {"over_s", s.over.count()},
            {"state", state_names.at(static_cast<std::size_t>(s.state))}};
}

} // namespace

json::value to_json(const steering& s) {
    json::array shifts;
    for (const auto& one : s.shifts) {
        shifts.emplace_back(shift_json(one));
    }
    json::array limits;
    for (const auto& one : s.limits) {
        limits.emplace_back(
            json::object{{"service", one.service.str()},
                         {"region", one.region.str()},
                         {"requests_per_second", one.requests_per_second}});
    }
    return json::object{{"drained_targets", names(s.drained_targets)},
                        {"drained_domains", names(s.drained_domains)},
                        {"drained_instances", names(s.drained_instances)},
                        {"shifts", shifts},
                        {"limits", limits}};
}

steering read_steering(const json_reader& r) {
    r.allow_keys({"drained_targets", "drained_domains", "drained_instances",
                  "shifts", "limits"});
    steering s;
    read_names(r.at("drained_targets"), s.drained_targets);
    read_names(r.at("drained_domains"), s.drained_domains);
    read_names(r.at("drained_instances"), s.drained_instances);
    r.at("shifts").each(
        [&](const json_reader& x) { s.shifts.push_back(read_shift(x)); });
    r.at("limits").each(
        [&](const json_reader& x) { s.limits.push_back(read_limit(x)); });
    return s;
}

} // namespace pollenreel::declarations
