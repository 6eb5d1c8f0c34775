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

TEST_CASE("status says who applies a version, who does not, who is gone") {
    struct row {
        const char* status;
        const char* text;
    };
    const row rows[] = {
        {R"({"in_force":true,"members":[]})",
         "in force on every live instance"},
        {R"({"in_force":false,"members":[)"
         R"({"instance":"b","state":"live","current":false},)"
         R"({"instance":"c","state":"live","current":true}]})",
         "not in force yet on b"},
        {R"({"in_force":true,"members":[)"
         R"({"instance":"b","state":"suspect","current":true},)"
         R"({"instance":"d","state":"dead","current":false},)"
         R"({"instance":"c","state":"leaving","current":false}]})",
         "in force on every live instance; suspect and not named to callers: "
         "b; dead and not named to callers: d"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.status);
        CHECK(cli::render_in_force(boost::json::parse(r.status)) == r.text);
    }
}
