#include "cli/burn_report.hpp"
#include "cli/render.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

using namespace pollenreel;

TEST_CASE("what became of a change is said truthfully") {
    struct row {
        const char* answer;
        const char* text;
    };
    const row rows[] = {
        {R"({"outcome":"accepted","version":41,"summary":"drain c-1"})",
         "accepted, version 41: drain c-1\n"},
        {R"({"outcome":"unchanged","version":41,"why":"drained already"})",
         "unchanged, version 41: drained already\n"},
        {R"({"outcome":"refused","why":"unsafe: too full"})",
         "refused: unsafe: too full\n"},
        {R"({"outcome":"lost-race","version":42,"author":"kim",)"
         R"("summary":"drain c-2"})",
         "refused: kim came first with version 42 (drain c-2); look again and "
         "repeat if it still applies\n"},
        {R"({"outcome":"unknown","why":"no answer"})",
         "unknown: it may have been accepted; ask again with --command-id "
         "id-1\n"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.answer);
        CHECK(cli::render_outcome(boost::json::parse(r.answer), "id-1") ==
              r.text);
    }
}

TEST_CASE("the caret stands under the column") {
    CHECK(cli::render_caret("drian target a", 1, "p") ==
          "drian target a\n^\np\n");
    CHECK(cli::render_caret("drain x a", 7, "p") == "drain x a\n      ^\np\n");
}

TEST_CASE("a plan shows its differences and what speaks against it") {
    struct row {
        const char* answer;
        const char* text;
    };
    const row rows[] = {
        {R"({"version":3,"differences":[],"objections":[]})",
         "no difference from version 3\n"},
        {R"({"version":3,"differences":["+ a: 1"],"objections":[]})",
         "1 differences from version 3:\n  + a: 1\n"
         "nothing speaks against it\n"},
        {R"({"version":3,"differences":["- a: 1"],"objections":["too full"]})",
         "1 differences from version 3:\n  - a: 1\n"
         "would be refused:\n  too full\n"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.answer);
        CHECK(cli::render_plan(boost::json::parse(r.answer)) == r.text);
    }
}

TEST_CASE("queries read as tables; an unknown shape is shown as it came") {
    const language::command history = language::query(language::history{});
    CHECK(cli::render(history, boost::json::parse(
                                   R"({"changes":[{"version":2,"author":"kim",)"
                                   R"("summary":"s","command_id":"i"}]})")) ==
          "VERSION  WHEN  WHO  WHAT  COMMAND ID\n"
          "2              kim  s     i\n");
    CHECK(cli::render(history, boost::json::parse(R"({"other":1})")) ==
          "{\"other\":1}\n");
    CHECK(cli::render(history, boost::json::parse(
                                   R"({"outcome":"refused","why":"w"})")) ==
          "refused: w\n");
}

TEST_CASE("a shift shows how far it is and what holds it") {
    struct row {
        const char* moved;
        const char* held_by;
        const char* shown;
    };
    const row rows[] = {
        {"0", "no-holder", "0% moved, held by no-holder"},
        {"20.0887", "none", "20.09% moved\n"},
        {"5E1", "done", "50% moved, done"},
    };
    const language::command shifts = language::query(language::list_shifts{});
    for (const auto& r : rows) {
        CAPTURE(r.shown);
        const auto answer = boost::json::parse(
            R"({"version":2,"shifts":[{"id":"s","service":"catalogue",)"
            R"("from":"khomas","to":"erongo","percent":50,)"
            R"("cap_megabits_per_second":400,"over_s":5,"state":"active",)"
            R"("moved_percent":)" +
            std::string(r.moved) + R"(,"held_by":")" + r.held_by + R"("}]})");
        CHECK(cli::render(shifts, answer).find(r.shown) != std::string::npos);
    }
}

TEST_CASE("status says who applies a version, who does not, who is silent") {
    struct row {
        const char* status;
        const char* text;
    };
    const row rows[] = {
        {R"({"in_force":true,"members":[]})",
         "in force on every live instance"},
        {R"({"in_force":false,"behind":2,"missing":["b","c"],"unheard":[],)"
         R"("members":[{"instance":"b","state":"live"}]})",
         "not in force yet on 2 instances: b, c"},
        {R"({"in_force":false,"behind":0,"missing":[],"unheard":["north"],)"
         R"("members":[]})",
         "not in force yet on 0 instances; nothing is known of regions north"},
        {R"({"in_force":true,"members":[)"
         R"({"instance":"b","state":"suspect"},)"
         R"({"instance":"c","state":"leaving"},)"
         R"({"instance":"d","state":"dead"}]})",
         "in force on every live instance; suspect: b; dead: d"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.status);
        CHECK(cli::render_in_force(boost::json::parse(r.status)) == r.text);
    }
}

TEST_CASE("status reads as a table") {
    const language::command status = language::query(language::status{});
    const auto answer = boost::json::parse(
        R"({"instance":"a","version":2,"author":"kim","summary":"s",)"
        R"("in_force":true,"confirmed_ms_ago":40,)"
        R"("commanded":{"drained_targets":["t"],"drained_domains":[],)"
        R"("drained_instances":[],"shifts":[],"limits":[]},)"
        R"("members":[{"instance":"b","failure_domain":"d","state":"live",)"
        R"("since_ms":7,"applied":2}]})");
    CHECK(cli::render(status, answer) ==
          "version 2 by kim: s\nin force on every live instance\n"
          "confirmed as the newest 40 ms ago\n\n"
          "INSTANCE   DOMAIN  STATE  FOR   APPLIED\n"
          "a (asked)          live         2\n"
          "b          d       live   7 ms  2\n\n"
          "drained targets: t\n");
}

TEST_CASE("the burn report says what it stands on") {
    report::service_levels levels;
    levels.instances = {base::instance_id("i-1")};
    levels.covered = std::chrono::seconds(61);
    const auto empty = cli::render_burn(levels, {base::instance_id("i-2")});
    CHECK(
        empty.starts_with("burn rates of 1 instances, counting for 00:01:01"));
    CHECK(empty.find("no requests were counted yet") != std::string::npos);
    CHECK(empty.find("not in these figures: i-2;") != std::string::npos);

    auto& l = levels.levels[{base::service_id("web"), base::kind_id("read"),
                             base::region_id("a")}];
    l.objective = {990'000, std::chrono::milliseconds(500)};
    l.in_window.fill({800, 1000});
    const auto burning = cli::render_burn(levels, {});
    CHECK(burning.find("(all)   99%   500 ms  20.00") != std::string::npos);
    CHECK(burning.find("PAGE") != std::string::npos);
    CHECK(burning.find("not in these figures") == std::string::npos);
}
