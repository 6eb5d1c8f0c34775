#include "pollenreel/control/answers.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

using namespace pollenreel;
namespace json = boost::json;

TEST_CASE("every verdict has its outcome and status") {
    using control::answer_status;
    const base::config_version v(41);
    struct row {
        control::verdict verdict;
        answer_status status;
        const char* json;
    };
    const row rows[] = {
        {control::accepted{v, "drain target t"}, answer_status::ok,
         R"({"outcome":"accepted","version":41,"summary":"drain target t"})"},
        {control::refused{"held already", v}, answer_status::ok,
         R"({"outcome":"unchanged","version":41,"why":"held already"})"},
        {control::refused{"unsafe"}, answer_status::refused,
         R"({"outcome":"refused","why":"unsafe"})"},
        {control::lost_race{v, "kim", "drain target u"},
         answer_status::lost_race,
         R"({"outcome":"lost-race","version":41,"author":"kim",)"
         R"("summary":"drain target u"})"},
        {control::undecided{}, answer_status::undecided,
         R"({"outcome":"unknown","why":"the store did not answer; ask again )"
         R"(with the same command id"})"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.json);
        const auto told = control::answer(control::call_id(3), r.verdict);
        CHECK(told.call == control::call_id(3));
        CHECK(told.status == r.status);
        CHECK(told.json == r.json);
    }
}

TEST_CASE("a shift is shown with what was moved and what holds it") {
    declarations::configuration c;
    declarations::shift s;
    s.service = base::service_id("web");
    s.from = base::region_id("a");
    s.to = base::region_id("b");
    s.percent = 30;
    for (const char* id : {"s1", "s2"}) {
        s.id = base::shift_id(id);
        c.commanded.shifts.push_back(s);
    }
    const shift::progress known{
        base::shift_id("s2"),   s.service, s.from, s.to, 30, {125'000},
        shift::hold_reason::cap};
    const auto told = control::shifts_answer(control::call_id(1), c, {known});
    const auto shifts = json::parse(told.json).at("shifts");
    CHECK(!shifts.at(0).as_object().contains("moved_percent"));
    CHECK(shifts.at(1).at("moved_percent") == 12.5);
    CHECK(shifts.at(1).at("held_by") == "cap");
}

TEST_CASE("history is told newest first, in UTC") {
    declarations::configuration c;
    c.version = base::config_version(2);
    for (const std::uint64_t v : {1, 2}) {
        declarations::change_record r;
        r.version = base::config_version(v);
        r.command = base::command_id("c" + std::to_string(v));
        r.author = "kim";
        r.summary = "s";
        r.at = std::chrono::sys_days(std::chrono::year(2026) / 3 / 1) +
               std::chrono::hours(7 + v);
        c.recent.push_back(r);
    }
    const auto told = control::history_answer(control::call_id(1), c);
    const auto changes = json::parse(told.json).at("changes");
    CHECK(json::serialize(changes.at(0)) ==
          R"({"version":2,"at":"2026-03-01 09:00:00Z","author":"kim",)"
          R"("command_id":"c2","summary":"s"})");
    CHECK(changes.at(1).at("version") == 1);
}
