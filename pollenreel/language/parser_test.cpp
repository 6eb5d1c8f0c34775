#include "pollenreel/language/parser.hpp"

#include <doctest/doctest.h>

using pollenreel::language::parse;

TEST_CASE("errors point at the column") {
    struct row {
        const char* name;
        const char* line;
        const char* mentions; // empty: accepted
    };
    const row rows[] = {
        {"a query", "where catalogue from khomas-a", ""},
        {"a command with wide spaces", "  drain   target cat-1 ", ""},
        {"an unknown verb", "were catalogue", "column 1: expected one of"},
        {"a missing name", "where", "column 6: expected the name of a service"},
        {"a wrong keyword", "where catalogue at khomas-a",
         "column 17: expected 'from', found 'at'"},
        {"words left over", "status please", "column 8: expected the end"},
        {"an empty line", "", "column 1"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto parsed = parse(r.line);
        CHECK(parsed.has_value() == std::string(r.mentions).empty());
        if (!parsed) {
            CHECK(parsed.error().detail.find(r.mentions) != std::string::npos);
        }
    }
}
