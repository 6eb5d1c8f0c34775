#include "pollenreel/declarations/codec.hpp"

#include "pollenreel/declarations/configuration.hpp"
#include "pollenreel/declarations/error.hpp"

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using declarations::error;

const std::string good = R"({
  "fleet_instances": 4,
  "regions": [{"id": "khomas", "failure_domains": ["khomas-a"]},
              {"id": "erongo", "failure_domains": ["erongo-a"]}],
  "links": [{"first": "khomas", "second": "erongo",
             "megabits_per_second": 4000}],
  "client_blocks": [{"block": "127.0.0.0/8", "failure_domain": "khomas-a"}],
  "services": [{"id": "catalogue", "max_connections_per_target": 400,
    "kinds": [{"id": "browse", "methods": ["GET"], "idempotent": true,
               "deadline_ms": 500, "priority": 1, "long_running": true,
               "hedge_percentile": 90, "hedge_budget_percent": 4,
               "retry_budget_percent": 8,
               "objective": {"good_per_million": 995000, "latency_ms": 200}}],
    "planned_load": [{"region": "khomas", "busy_slots": 3}],
    "long_running_percent": 40, "queue_limit": 10, "in_flight_percent": 200,
    "slow_start_ms": 5000,
    "targets": [{"id": "cat-1", "failure_domain": "khomas-a",
                 "address": "127.0.0.1:9000", "slots": 6}]}]
})";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("parse_document refuses with the path of the value") {
    struct row {
        const char* name;
        std::string text;
        error expected;
        const char* mentions;
    };
    const row rows[] = {
        {"text that is not JSON", "{", error::not_json, ""},
        {"an unknown key", replaced(good, "\"slots\"", "\"slot\""),
         error::unknown_key, "/services/0/targets/0"},
        {"a missing key", replaced(good, "\"fleet_instances\": 4,", ""),
         error::missing_key, "fleet_instances"},
        {"a number out of range",
         replaced(good, "\"slots\": 6", "\"slots\": 0"), error::out_of_range,
         "/services/0/targets/0/slots"},
        {"a string for a number", replaced(good, "4000", "\"fast\""),
         error::wrong_type, "/links/0/megabits_per_second"},
        {"a domain declared twice", replaced(good, "erongo-a", "khomas-a"),
         error::duplicate, "khomas-a"},
        {"an objective that leaves no budget",
         replaced(good, "995000", "1000000"), error::out_of_range,
         "/services/0/kinds/0/objective/good_per_million"},
        {"an unknown key of an objective",
         replaced(good, "\"latency_ms\"", "\"latency\""), error::unknown_key,
         "/services/0/kinds/0/objective"},
        {"load planned in an undeclared region",
         replaced(good, "[{\"region\": \"khomas\"",
                  "[{\"region\": \"omusati\""),
         error::unknown_reference, "/services/0/planned_load/0/region"},
        {"a target in an undeclared domain",
         replaced(good, "\"cat-1\", \"failure_domain\": \"khomas-a\"",
                  "\"cat-1\", \"failure_domain\": \"oshana-a\""),
         error::unknown_reference, "oshana-a"},
        {"a percentile that no request can pass",
         replaced(good, "\"hedge_percentile\": 90",
                  "\"hedge_percentile\": 100"),
         error::out_of_range, "/services/0/kinds/0/hedge_percentile"},
        {"a block that is not CIDR", replaced(good, "127.0.0.0/8", "here"),
         error::out_of_range, "/client_blocks/0/block"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto parsed = declarations::parse_document(r.text);
        REQUIRE(!parsed.has_value());
        CHECK(parsed.error().code == make_error_code(r.expected));
        CHECK(parsed.error().detail.find(r.mentions) != std::string::npos);
    }
}

TEST_CASE("the keys of the request path are read, and may be left out") {
    auto d = declarations::parse_document(good).value();
    const auto& service = d.services.at(0);
    CHECK(service.long_running_percent == 40);
    CHECK(service.queue_limit == 10);
    CHECK(service.in_flight_percent == 200);
    CHECK(service.slow_start == std::chrono::milliseconds(5000));
    const auto& kind = service.kinds.at(0);
    CHECK(kind.long_running);
    CHECK(kind.hedge_percentile == 90);
    CHECK(kind.hedge_budget_percent == 4);
    CHECK(kind.retry_budget_percent == 8);

    const auto older = declarations::parse_document(
        replaced(good, ", \"long_running\": true", ""));
    REQUIRE(older.has_value());
    CHECK(!older.value().services.at(0).kinds.at(0).long_running);
}

TEST_CASE("objectives and planned load are read, and may be left out") {
    const auto read = declarations::parse_document(good).value().services[0];
    CHECK(read.kinds[0].objective ==
          declarations::objective{995'000, std::chrono::milliseconds(200)});
    REQUIRE(read.planned_load.size() == 1);
    CHECK(read.planned_load[0] ==
          declarations::planned_load{base::region_id("khomas"), 3});

    auto bare = replaced(
        good, R"("planned_load": [{"region": "khomas", "busy_slots": 3}],)",
        "");
    bare = replaced(
        bare, R"("objective": {"good_per_million": 995000, "latency_ms": 200})",
        R"("objective": {})");
    const auto without = declarations::parse_document(bare).value().services[0];
    CHECK(without.kinds[0].objective == declarations::objective{});
    CHECK(without.planned_load.empty());
}

TEST_CASE("a configuration survives encoding") {
    declarations::configuration c;
    c.version = base::config_version(7);
    c.command = base::command_id("cmd-1");
    c.author = "ops";
    c.summary = "first";
    c.declared = declarations::parse_document(good).value();
    c.commanded.drained_targets.insert(base::target_id("cat-1"));
    c.commanded.drained_domains.insert(base::failure_domain_id("khomas-a"));
    c.commanded.drained_instances.insert(base::instance_id("khomas-a-1"));
    c.commanded.shifts.push_back(
        {base::shift_id("cmd-0"), base::service_id("catalogue"),
         base::region_id("khomas"), base::region_id("erongo"), 30, 400,
         std::chrono::seconds(600), declarations::shift_state::paused});
    c.commanded.limits.push_back(
        {base::service_id("catalogue"), base::region_id("erongo"), 500});
    const auto back = declarations::decode(declarations::encode(c));
    REQUIRE(back.has_value());
    CHECK(back.value().version == c.version);
    CHECK(back.value().declared == c.declared);
    CHECK(back.value().commanded == c.commanded);
}
