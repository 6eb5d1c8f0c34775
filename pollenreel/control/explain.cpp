#include "pollenreel/control/explain.hpp"

#include "pollenreel/control/answers.hpp"
#include "pollenreel/declarations/steering_codec.hpp"
#include "pollenreel/lookup/table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <map>

namespace pollenreel::control {

namespace {

namespace json = boost::json;

constexpr std::uint32_t all_percent = 100;

struct inputs {
    const declarations::configuration& configuration;
    const routing::snapshot& snapshot;
    const routing::service& service;
    base::failure_domain_id from;
    base::region_id region; // of `from`
};

struct region_summary {
    std::uint64_t slots = 0;
    std::uint64_t taking_new_work = 0; // slots, of targets that do
    std::uint64_t targets = 0;
    std::uint64_t excluded = 0; // targets
};

std::map<base::region_id, region_summary> summarise(const inputs& in) {
    std::map<base::region_id, region_summary> all;
    for (const auto& [domain, region] : in.snapshot.region_of) {
        all[region]; // also regions without targets are shown
    }
    for (const auto& t : in.service.targets) {
        auto& r = all[t.region];
        ++r.targets;
        r.slots += t.slots;
        r.excluded += t.accepts_new_work ? 0 : 1;
        r.taking_new_work += t.accepts_new_work ? t.slots : 0;
    }
    return all;
}

// Percent of the traffic of `in.region` that each region is to have when every
// standing shift is done.
std::map<base::region_id, std::uint32_t> goals(const inputs& in) {
    std::map<base::region_id, std::uint32_t> percent;
    percent[in.region] = all_percent;
    for (const auto& s : in.configuration.commanded.shifts) {
        const bool moves = s.service == in.service.id && s.from == in.region &&
                           s.state != declarations::shift_state::reversing;
        if (moves) {
            percent[s.to] += s.percent;
            percent[in.region] -= std::min(percent[in.region], s.percent);
        }
    }
    return percent;
}

json::array regions_json(const inputs& in) {
    const auto goal = goals(in);
    json::array regions;
    for (const auto& [region, r] : summarise(in)) {
        const auto share = goal.find(region);
        regions.emplace_back(json::object{
            {"region", region.str()},
            {"goal_percent", share == goal.end() ? 0 : share->second},
            {"targets", r.targets},
            {"excluded_targets", r.excluded},
            {"slots", r.slots},
            {"slots_taking_new_work", r.taking_new_work},
        });
    }
    return regions;
}

std::string exclusion(const inputs& in, const routing::target& t) {
    const auto& c = in.configuration.commanded;
    if (c.drained_targets.contains(t.id)) {
        return "drained by 'drain target " + t.id.str() + "'";
    }
    if (c.drained_domains.contains(t.failure_domain)) {
        return "drained by 'drain domain " + t.failure_domain.str() + "'";
    }
    return "takes no new work";
}

std::string inclusion(const inputs& in, const routing::target& t,
                      const std::map<base::region_id, std::uint32_t>& goal) {
    if (t.region == in.region) {
        return "in the clients' own region";
    }
    if (const auto share = goal.find(t.region);
        share != goal.end() && share->second > 0) {
        return fmt::format("{}% of the region's traffic is shifted here",
                           share->second);
    }
    return "only when no nearer region can take the request";
}

json::array targets_json(const inputs& in) {
    const auto goal = goals(in);
    json::array targets;
    for (const auto& t : in.service.targets) {
        targets.emplace_back(json::object{
            {"target", t.id.str()},
            {"region", t.region.str()},
            {"failure_domain", t.failure_domain.str()},
            {"slots", t.slots},
            {"candidate", t.accepts_new_work},
            {"reason",
             t.accepts_new_work ? inclusion(in, t, goal) : exclusion(in, t)},
        });
    }
    return targets;
}

// Standing shifts or limits of the service.
json::array standing(const inputs& in, std::string_view key) {
    const auto commanded = declarations::to_json(in.configuration.commanded);
    json::array kept;
    for (const auto& one : commanded.as_object().at(key).as_array()) {
        if (one.at("service") == json::string(in.service.id.str())) {
            kept.push_back(one);
        }
    }
    return kept;
}

json::object where_json(const inputs& in) {
    const auto answer =
        json::parse(lookup::answer(in.snapshot, in.service.id, in.from));
    return {{"service", in.service.id.str()},
            {"from", in.from.str()},
            {"region", in.region.str()},
            {"version", in.snapshot.version.value()},
            {"entry_instances", answer.at("instances")},
            {"regions", regions_json(in)}};
}

json::object why_json(const inputs& in) {
    auto body = where_json(in);
    body["targets"] = targets_json(in);
    body["shifts"] = standing(in, "shifts");
    body["limits"] = standing(in, "limits");
    json::array drained;
    for (const auto& id : in.configuration.commanded.drained_instances) {
        drained.emplace_back(id.str());
    }
    body["drained_instances"] = std::move(drained);
    return body;
}

template <class Query>
answer_operator explain_with(call_id call, const Query& query,
                             const declarations::configuration& c,
                             const routing::snapshot& s,
                             json::object (*body)(const inputs&)) {
    const auto service = s.services.find(query.service);
    if (service == s.services.end()) {
        return answer(call, refused{fmt::format("no service is called '{}'",
                                                query.service.str())});
    }
    const auto region = s.region_of.find(query.from);
    if (region == s.region_of.end()) {
        return answer(call,
                      refused{fmt::format("no failure domain is called '{}'",
                                          query.from.str())});
    }
    const inputs in{c, s, service->second, query.from, region->second};
    return {call, answer_status::ok, json::serialize(body(in))};
}

} // namespace

answer_operator explain(call_id call, const language::where& query,
                        const declarations::configuration& c,
                        const routing::snapshot& s) {
    return explain_with(call, query, c, s, where_json);
}

answer_operator explain(call_id call, const language::why& query,
                        const declarations::configuration& c,
                        const routing::snapshot& s) {
    return explain_with(call, query, c, s, why_json);
}

} // namespace pollenreel::control
