#include "pollenreel/control/change.hpp"

#include "pollenreel/language/parser.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;

namespace {

declarations::configuration fleet() {
    declarations::configuration c;
    auto& d = c.declared;
    declarations::service s;
    s.id = base::service_id("catalogue");
    for (const std::string r : {"khomas", "erongo"}) {
        const base::failure_domain_id domain(r + "-a");
        d.regions.push_back({base::region_id(r), {domain}});
        for (const char* n : {"-1", "-2", "-3"}) {
            s.targets.push_back(
                {base::target_id(r + n), domain, {"127.0.0.1", 1000}, 6});
        }
    }
    d.links = {{base::region_id("khomas"), base::region_id("erongo"), 1000}};
    d.services = {s};
    return c;
}

} // namespace

TEST_CASE("a change is summed up, or refused with the name that was meant") {
    struct row {
        const char* line;
        const char* text; // the summary, or the refusal
    };
    const row rows[] = {
        {"drain target khomas-1", "drain target khomas-1"},
        {"drain instance any", "drain instance any"},
        {"drain target khoams-1",
         "unknown name: no target is called 'khoams-1'; did you mean "
         "'khomas-1'?"},
        {"drain domain khomas",
         "unknown name: no domain is called 'khomas'; did you mean "
         "'khomas-a'?"},
        {"undrain target khomas-1",
         "nothing to change: target khomas-1 is not drained"},
        {"limit catalog in khomas 5/s",
         "unknown name: no service is called 'catalog'; did you mean "
         "'catalogue'?"},
        {"limit catalogue in oshana 5/s",
         "unknown name: no region is called 'oshana'"},
        {"limit catalogue in khomas 5/s", "limit catalogue in khomas to 5/s"},
        {"shift catalogue khomas -> erongo 30% cap 40Mbit/s over 10m",
         "shift catalogue khomas -> erongo 30%"},
        {"pause shift s", "unknown name: no shift is called 's'"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.line);
        const auto line = language::parse(r.line);
        REQUIRE(line.has_value());
        const auto after =
            control::apply({base::command_id("c"), "ops",
                            std::get<language::change>(line.value())},
                           fleet());
        CHECK((after ? after.value().summary : after.error().text()) == r.text);
    }
}

TEST_CASE("applied declarations are summed up by what changed") {
    auto d = fleet().declared;
    d.services[0].targets.pop_back();
    d.links[0].megabits_per_second = 500;
    const auto after = control::apply(
        {base::command_id("c"), "ops", control::apply_document{d}}, fleet());
    REQUIRE(after.has_value());
    CHECK(after.value().summary == "apply declarations: 1 removed, 1 changed");
}
