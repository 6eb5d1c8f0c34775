#include "pollenreel/control/answers.hpp"

#include "pollenreel/base/overloaded.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace pollenreel::control {

namespace {

namespace json = boost::json;

json::object member_json(const known_member& m, base::time_point now,
                         base::config_version current) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto silent = now - m.last_heard;
    const char* state = "live";
    if (m.member.leaving) {
        state = "leaving";
    } else if (silent >= silence_limit) {
        state = "silent";
    }
    return {{"instance", m.member.instance.str()},
            {"failure_domain", m.member.failure_domain.str()},
            {"state", state},
            {"silent_ms", duration_cast<milliseconds>(silent).count()},
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

std::string
status_json(const declarations::configuration& current,
            const peer::member& self,
            const std::map<base::instance_id, known_member>& members,
            base::time_point now, const feed::feed& feed) {
    json::array list;
    for (const auto& [id, m] : members) {
        list.emplace_back(member_json(m, now, current.version));
    }
    const auto coverage = feed.coverage_of(current.version);
    json::array drained;
    for (const auto& t : current.commanded.drained_targets) {
        drained.emplace_back(t.str());
    }
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
                     {"drained_targets", drained},
                     {"members", list}});
}

answer_operator where_answer(call_id call, const language::where& query,
                             const declarations::configuration& current) {
    const auto& services = current.declared.services;
    const auto found =
        std::find_if(services.begin(), services.end(),
                     [&](const auto& s) { return s.id == query.service; });
    if (found == services.end()) {
        return answer(call, refused{"unknown service " + query.service.str()});
    }
    json::array targets;
    for (const auto& t : found->targets) {
        const bool drained = current.commanded.drained_targets.contains(t.id);
        targets.emplace_back(
            json::object{{"target", t.id.str()},
                         {"failure_domain", t.failure_domain.str()},
                         {"drained", drained},
                         {"same_domain", t.failure_domain == query.from}});
    }
    return {call, answer_status::ok,
            json::serialize(json::object{{"service", query.service.str()},
                                         {"from", query.from.str()},
                                         {"version", current.version.value()},
                                         {"targets", targets}})};
}

} // namespace pollenreel::control
