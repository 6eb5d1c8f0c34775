#include "pollenreel/control/answers.hpp"

#include "pollenreel/base/overloaded.hpp"
#include "pollenreel/control/safety.hpp"
#include "pollenreel/declarations/difference.hpp"
#include "pollenreel/declarations/steering_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/range/adaptor/reversed.hpp>
#include <fmt/chrono.h>

namespace pollenreel::control {

namespace {

namespace json = boost::json;

const char* state_name(const membership::member_entry& m) {
    switch (m.state) {
    case peer::member_state::suspect:
        return "suspect";
    case peer::member_state::dead:
        return "dead";
    case peer::member_state::live:
        break;
    }
    return m.member.leaving ? "leaving" : "live";
}

json::object member_json(const membership::member_entry& m,
                         base::time_point now, base::config_version current) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return {
        {"instance", m.member.instance.str()},
        {"failure_domain", m.member.failure_domain.str()},
        {"state", state_name(m)},
        {"since_ms", duration_cast<milliseconds>(now - m.state_since).count()},
        {"applied", m.applied.value()},
        {"current", m.applied >= current}};
}

template <class Id>
json::array names(const std::vector<Id>& ids) {
    json::array list;
    for (const auto& id : ids) {
        list.emplace_back(id.str());
    }
    return list;
}

// How long ago the configuration was known to be the newest.
json::value confirmed_json(const feed::feed& feed, base::time_point now) {
    const auto ago = feed.confirmed_ago(now);
    return ago ? json::value(ago->count()) : json::value(nullptr);
}

// "2026-03-01 07:30:12Z".
std::string utc_text(std::chrono::sys_time<std::chrono::milliseconds> at) {
    return fmt::format("{:%F %T}Z",
                       std::chrono::floor<std::chrono::seconds>(at));
}

answer_operator ok(call_id call, const json::object& body) {
    return {call, answer_status::ok, json::serialize(body)};
}

double percent(share::ppm p) {
    constexpr double parts_of_one_percent = 10'000;
    return p.value / parts_of_one_percent;
}

json::value steering_part(const declarations::configuration& c,
                          std::string_view key) {
    return declarations::to_json(c.commanded).as_object().at(key);
}

} // namespace

answer_operator answer(call_id call, const verdict& v) {
    const auto reply = [&](answer_status s, const json::object& body) {
        return answer_operator{call, s, json::serialize(body)};
    };
    return std::visit(
        base::overloaded{
            [&](const accepted& a) {
                return reply(answer_status::ok, {{"outcome", "accepted"},
                                                 {"version", a.version.value()},
                                                 {"summary", a.summary}});
            },
            [&](const refused& r) {
                if (r.holds_in) {
                    return reply(answer_status::ok,
                                 {{"outcome", "unchanged"},
                                  {"version", r.holds_in->value()},
                                  {"why", r.why}});
                }
                return reply(answer_status::refused,
                             {{"outcome", "refused"}, {"why", r.why}});
            },
            [&](const lost_race& l) {
                return reply(answer_status::lost_race,
                             {{"outcome", "lost-race"},
                              {"version", l.version.value()},
                              {"author", l.author},
                              {"summary", l.summary}});
            },
            [&](const undecided&) {
                return reply(answer_status::undecided,
                             {{"outcome", "unknown"},
                              {"why", "the store did not answer; ask again "
                                      "with the same command id"}});
            },
        },
        v);
}

std::string status_json(const declarations::configuration& current,
                        const peer::member& self,
                        const membership::member_table& members,
                        base::time_point now, const feed::feed& feed) {
    json::array list;
    for (const auto& [id, m] : members.all()) {
        if (id != self.instance) {
            list.emplace_back(member_json(m, now, current.version));
        }
    }
    const auto coverage = feed.coverage_of(current.version);
    return json::serialize(
        json::object{{"instance", self.instance.str()},
                     {"version", current.version.value()},
                     {"author", current.author},
                     {"summary", current.summary},
                     {"in_force", coverage.in_force},
                     {"behind", coverage.behind},
                     {"missing", names(coverage.missing)},
                     {"unheard", names(coverage.unheard)},
                     {"confirmed_ms_ago", confirmed_json(feed, now)},
                     {"commanded", declarations::to_json(current.commanded)},
                     {"members", list}});
}

answer_operator shifts_answer(call_id call,
                              const declarations::configuration& current,
                              const std::vector<shift::progress>& progress) {
    auto shifts = steering_part(current, "shifts");
    for (auto& shown : shifts.as_array()) {
        for (const auto& p : progress) {
            if (shown.at("id") == json::string(p.shift.str())) {
                auto& o = shown.as_object();
                o["moved_percent"] = percent(p.moved);
                o["held_by"] = shift::to_string(p.reason);
            }
        }
    }
    return ok(call, {{"version", current.version.value()},
                     {"shifts", std::move(shifts)}});
}

answer_operator history_answer(call_id call,
                               const declarations::configuration& current) {
    json::array changes;
    for (const auto& r : boost::adaptors::reverse(current.recent)) {
        changes.emplace_back(json::object{{"version", r.version.value()},
                                          {"at", utc_text(r.at)},
                                          {"author", r.author},
                                          {"command_id", r.command.str()},
                                          {"summary", r.summary}});
    }
    return ok(call,
              {{"version", current.version.value()}, {"changes", changes}});
}

answer_operator plan_answer(call_id call,
                            const declarations::document& proposed,
                            const declarations::configuration& current) {
    auto changed = current;
    changed.declared = proposed;
    json::array differences;
    for (const auto& d : declarations::difference(current.declared, proposed)) {
        differences.emplace_back(declarations::to_text(d));
    }
    json::array against;
    for (const auto& why : objections(current, changed)) {
        against.emplace_back(why);
    }
    json::array loads;
    for (const auto& l : planned_loads(current, changed)) {
        loads.emplace_back(json::object{{"service", l.service.str()},
                                        {"region", l.region.str()},
                                        {"slots", l.slots},
                                        {"planned_busy_slots", l.load}});
    }
    return ok(call, {{"version", current.version.value()},
                     {"differences", differences},
                     {"objections", against},
                     {"planned_loads", loads}});
}

} // namespace pollenreel::control
