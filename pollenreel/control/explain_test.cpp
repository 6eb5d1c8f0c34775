#include "pollenreel/control/explain.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

using namespace pollenreel;
namespace json = boost::json;

namespace {

declarations::configuration fleet() {
    declarations::configuration c;
    c.version = base::config_version(7);
    auto& d = c.declared;
    declarations::service s;
    s.id = base::service_id("web");
    for (const std::string r : {"a", "b"}) {
        const base::failure_domain_id domain(r + "-1");
        d.regions.push_back({base::region_id(r), {domain}});
        for (const char* n : {"x", "y"}) {
            s.targets.push_back(
                {base::target_id(r + n), domain, {"127.0.0.1", 1000}, 6});
        }
    }
    d.services = {s};
    return c;
}

routing::instance instance(const char* id, const char* domain) {
    return {base::instance_id(id),
            base::failure_domain_id(domain),
            {"127.0.0.1", 1}};
}

json::value why(const declarations::configuration& c) {
    const auto s =
        routing::compile(c, instance("i-a", "a-1"),
                         {instance("i-a", "a-1"), instance("i-b", "b-1")});
    const auto answer = control::explain(
        control::call_id(1),
        language::why{base::service_id("web"), base::failure_domain_id("b-1")},
        c, *s);
    REQUIRE(answer.status == control::answer_status::ok);
    return json::parse(answer.json);
}

const json::value& element(const json::value& list, const char* key,
                           const char* id) {
    for (const auto& one : list.as_array()) {
        if (one.at(key) == id) {
            return one;
        }
    }
    FAIL("no element " << id);
    return list;
}

} // namespace

TEST_CASE("each target is shown with the reason that it is in or out") {
    auto c = fleet();
    c.commanded.drained_targets.emplace("bx");
    c.commanded.shifts = {{base::shift_id("s1"), base::service_id("web"),
                           base::region_id("b"), base::region_id("a"), 30, 400,
                           std::chrono::minutes(10),
                           declarations::shift_state::active}};
    struct row {
        const char* target;
        bool candidate;
        const char* reason;
    };
    const row rows[] = {
        {"ax", true, "30% of the region's traffic is shifted here"},
        {"bx", false, "drained by 'drain target bx'"},
        {"by", true, "in the clients' own region"},
    };
    const auto body = why(c);
    for (const auto& r : rows) {
        CAPTURE(r.target);
        const auto& shown = element(body.at("targets"), "target", r.target);
        CHECK(shown.at("candidate").as_bool() == r.candidate);
        CHECK(shown.at("reason") == r.reason);
    }
    CHECK(body.at("shifts").as_array().size() == 1);
    CHECK(element(body.at("regions"), "region", "a").at("goal_percent") == 30);
    const auto& b = element(body.at("regions"), "region", "b");
    CHECK(b.at("goal_percent") == 70);
    CHECK(b.at("excluded_targets") == 1);
    CHECK(b.at("slots_taking_new_work") == 6);
    CHECK(body.at("entry_instances").at(0).at("id") == "i-b");
}

TEST_CASE("a drained domain and a region without shifts are told apart") {
    auto c = fleet();
    c.commanded.drained_domains.emplace("b-1");
    const auto body = why(c);
    CHECK(element(body.at("targets"), "target", "by").at("reason") ==
          "drained by 'drain domain b-1'");
    CHECK(element(body.at("targets"), "target", "ax").at("reason") ==
          "only when no nearer region can take the request");
}

TEST_CASE("names that are not declared are refused") {
    const auto c = fleet();
    const auto s = routing::compile(c, instance("i", "a-1"), {});
    struct row {
        const char* service;
        const char* domain;
        const char* why;
    };
    const row rows[] = {
        {"wbe", "a-1", "no service is called 'wbe'"},
        {"web", "a", "no failure domain is called 'a'"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.why);
        const auto answer =
            control::explain(control::call_id(1),
                             language::where{base::service_id(r.service),
                                             base::failure_domain_id(r.domain)},
                             c, *s);
        CHECK(answer.status == control::answer_status::refused);
        CHECK(answer.json.find(r.why) != std::string::npos);
    }
}
