#include "pollenreel/language/parser.hpp"

#include "pollenreel/language/nearest.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;
using namespace pollenreel::language;
using namespace std::chrono_literals;

namespace {

const base::service_id catalogue{"catalogue"};
const base::region_id khomas{"khomas"};
const base::region_id erongo{"erongo"};
const base::failure_domain_id khomas_a{"khomas-a"};
const base::shift_id shift_7{"c7"};

} // namespace

TEST_CASE("every sentence of the grammar becomes its command") {
    struct row {
        const char* line;
        command read;
    };
    const row rows[] = {
        {"status", query(status{})},
        {"where catalogue from khomas-a", query(where{catalogue, khomas_a})},
        {"why catalogue from khomas-a", query(why{catalogue, khomas_a})},
        {"shifts", query(list_shifts{})},
        {"history", query(history{})},
        {"report burn", query(report_burn{})},
        {"  drain \t target cat-1 \r\n",
         change(drain{base::target_id("cat-1")})},
        {"drain domain khomas-a", change(drain{khomas_a})},
        {"drain instance i-1", change(drain{base::instance_id("i-1")})},
        {"undrain target target", change(undrain{base::target_id("target")})},
        {"shift catalogue khomas -> erongo 30% cap 400Mbit/s over 10m",
         change(start_shift{catalogue, khomas, erongo, 30, 400, 10min})},
        {"shift catalogue khomas -> erongo 100% cap 4Gbit/s over 24h",
         change(start_shift{catalogue, khomas, erongo, 100, 4000, 24h})},
        {"pause shift c7", change(pause_shift{shift_7})},
        {"resume shift c7", change(resume_shift{shift_7})},
        {"reverse shift c7", change(reverse_shift{shift_7})},
        {"abort shift c7", change(abort_shift{shift_7})},
        {"limit catalogue in erongo 500/s",
         change(set_limit{catalogue, erongo, 500})},
        {"unlimit catalogue in erongo",
         change(remove_limit{catalogue, erongo})},
    };
    for (const auto& r : rows) {
        CAPTURE(r.line);
        const auto read = parse_line(r.line);
        REQUIRE(read.has_value());
        CHECK(read.value() == r.read);
    }
}

TEST_CASE("errors point at the column and suggest the nearest word") {
    struct row {
        const char* name;
        std::string line;
        std::size_t column;
        const char* expected; // begins so
        const char* suggestion;
    };
    const std::string shift = "shift catalogue khomas -> erongo ";
    const row rows[] = {
        {"an unknown verb", "were catalogue", 1, "one of status", "where"},
        {"swapped letters", " drian target a", 2, "one of", "drain"},
        {"nothing alike", "xyzzy", 1, "one of", ""},
        {"an empty line", "", 1, "one of", ""},
        {"a missing name", "where", 6, "the name of a service", ""},
        {"a wrong keyword", "where catalogue form khomas-a", 17, "'from'",
         "from"},
        {"words left over", "status please", 8, "the end of the line", ""},
        {"an unknown kind", "drain targets a", 7, "one of target", "target"},
        {"a missing arrow", "shift catalogue khomas erongo", 24, "'->'", ""},
        {"a share without unit", shift + "30 cap", 34, "a share", ""},
        {"a share of nothing", shift + "0% cap", 34, "a share", ""},
        {"more than all", shift + "101% cap", 34, "a share", ""},
        {"a negative share", shift + "-5% cap", 34, "a share", ""},
        {"a fraction", shift + "2.5% cap", 34, "a share", ""},
        {"no cap", shift + "30% over 10m", 38, "'cap'", ""},
        {"a cap in bytes", shift + "30% cap 400MB/s", 42, "a bandwidth", ""},
        {"a cap of nothing", shift + "30% cap 0Mbit/s", 42, "a bandwidth", ""},
        {"a cap too large", shift + "30% cap 10001Gbit/s", 42, "a bandwidth",
         ""},
        {"a number too large",
         shift + "30% cap 99999999999999999999Mbit/s over 1m", 42,
         "a bandwidth", ""},
        {"no duration", shift + "30% cap 4Gbit/s over", 54, "a duration", ""},
        {"a duration in days", shift + "30% cap 4Gbit/s over 1d", 55,
         "a duration", ""},
        {"longer than a day", shift + "30% cap 4Gbit/s over 25h", 55,
         "a duration", ""},
        {"a rate without unit", "limit catalogue in erongo 500", 27, "a rate",
         ""},
        {"a rate a minute", "limit catalogue in erongo 500/m", 27, "a rate",
         ""},
        {"no such report", "report burns", 8, "'burn'", "burn"},
        {"a name too long", "drain target " + std::string(129, 'a'), 14,
         "the name of a target of at most 128 bytes", ""},
        {"a line too long", std::string(1025, ' '), 1025, "a line of at most",
         ""},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto read = parse_line(r.line);
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().column == r.column);
        CHECK(read.error().expected.starts_with(r.expected));
        CHECK(read.error().suggestion == r.suggestion);
    }
}

TEST_CASE("a problem reads as a sentence") {
    CHECK(parse("where catalogue form").error().detail ==
          "column 17: expected 'from', found 'form'; did you mean 'from'?");
    CHECK(parse("drain").error().detail ==
          "column 6: expected one of target, domain, instance, found the end "
          "of the line");
}

TEST_CASE("edit distance counts single slips") {
    struct row {
        const char* a;
        const char* b;
        std::size_t distance;
    };
    const row rows[] = {
        {"", "", 0},     {"", "abc", 3},           {"drain", "drain", 0},
        {"ab", "ba", 1}, {"drian", "drain", 1},    {"drain", "rain", 1},
        {"a", "b", 1},   {"kitten", "sitting", 3}, {"ca", "abc", 3},
    };
    for (const auto& r : rows) {
        CAPTURE(r.a);
        CAPTURE(r.b);
        CHECK(edit_distance(r.a, r.b) == r.distance);
        CHECK(edit_distance(r.b, r.a) == r.distance);
    }
}
