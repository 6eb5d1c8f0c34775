#include "pollenreel/control/safety.hpp"

#include "pollenreel/control/change.hpp"
#include "pollenreel/language/parser.hpp"

#include <doctest/doctest.h>

#include <functional>

using namespace pollenreel;
using declarations::configuration;

namespace {

// Three regions of two failure domains; four targets of six slots in each,
// named by region and number, so 24 slots a region, planned 14.4 of them.
configuration fleet() {
    configuration c;
    c.version = base::config_version(1);
    auto& d = c.declared;
    d.fleet_instances = 3;
    declarations::service s;
    s.id = base::service_id("web");
    s.max_connections_per_target = 10;
    s.kinds = {{base::kind_id("read"),
                {"GET"},
                true,
                std::chrono::milliseconds(500),
                1}};
    for (const std::string r : {"a", "b", "c"}) {
        const base::failure_domain_id one(r + "-1");
        const base::failure_domain_id two(r + "-2");
        d.regions.push_back({base::region_id(r), {one, two}});
        for (int i = 1; i <= 4; ++i) {
            s.targets.push_back({base::target_id(r + std::to_string(i)),
                                 i % 2 == 1 ? one : two,
                                 {"127.0.0.1", 1000},
                                 6});
        }
    }
    d.services = {s};
    d.links = {{base::region_id("a"), base::region_id("b"), 1000},
               {base::region_id("a"), base::region_id("c"), 1000}};
    return c;
}

// The configuration after `lines`, or the first refusal's text.
std::variant<configuration, std::string>
commanded(configuration c, const std::vector<std::string>& lines) {
    int id = 0;
    for (const auto& line : lines) {
        const auto read = language::parse(line);
        REQUIRE(read.has_value());
        auto after =
            control::apply({base::command_id("s" + std::to_string(++id)), "ops",
                            std::get<language::change>(read.value())},
                           c);
        if (!after) {
            return after.error().text();
        }
        c = std::move(after.value());
    }
    return c;
}

} // namespace

TEST_CASE("commands that would overload a region or break a cap are refused") {
    struct row {
        const char* name;
        std::vector<std::string> lines;
        const char* refusal; // part of it; empty: all accepted
    };
    const row rows[] = {
        {"one target of four", {"drain target a1"}, ""},
        {"two targets of four leave too few slots",
         {"drain target a1", "drain target a2"},
         "web in a would be planned 14.4 busy slots of the 12 it has left"},
        {"half a region", {"drain domain a-1"}, "planned 14.4 busy slots"},
        {"a drain given back makes room for another",
         {"drain target a1", "undrain target a1", "drain target a2"},
         ""},
        {"a shift that fits",
         {"shift web a -> b 60% cap 400Mbit/s over 10m"},
         ""},
        {"a shift that does not",
         {"shift web a -> b 70% cap 400Mbit/s over 10m"},
         "web in b would be planned 24.5 busy slots of the 24"},
        {"two shifts that do not fit together",
         {"shift web a -> b 40% cap 100Mbit/s over 10m",
          "shift web c -> b 40% cap 100Mbit/s over 10m"},
         "has no link"},
        {"a drain at a shift's destination",
         {"shift web a -> b 60% cap 400Mbit/s over 10m", "drain target b1"},
         "web in b would be planned 23.0 busy slots of the 18"},
        {"a drain at a shift's source",
         {"shift web a -> b 60% cap 400Mbit/s over 10m", "drain domain a-1"},
         ""},
        {"a cap above the link",
         {"shift web a -> b 10% cap 1001Mbit/s over 10m"},
         "1001 Mbit/s over a link of 1000"},
        {"caps that add up to more than the link",
         {"shift web a -> b 10% cap 600Mbit/s over 10m",
          "shift web a -> b 10% cap 500Mbit/s over 10m"},
         "1100 Mbit/s over a link of 1000"},
        {"caps over two links",
         {"shift web a -> b 10% cap 600Mbit/s over 10m",
          "shift web a -> c 10% cap 600Mbit/s over 10m"},
         ""},
        {"no link", {"shift web b -> c 10% cap 1Mbit/s over 10m"}, "no link"},
        {"to itself",
         {"shift web a -> a 10% cap 1Mbit/s over 10m"},
         "both regions are the same"},
        {"more than all",
         {"shift web a -> b 50% cap 10Mbit/s over 10m",
          "shift web a -> c 51% cap 10Mbit/s over 10m"},
         "would move 101% in all"},
        {"aborting is always allowed",
         {"shift web a -> b 60% cap 400Mbit/s over 10m", "abort shift s1"},
         ""},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto after = commanded(fleet(), r.lines);
        const auto* why = std::get_if<std::string>(&after);
        CHECK((why == nullptr) == std::string(r.refusal).empty());
        if (why != nullptr) {
            CAPTURE(*why);
            CHECK(why->find(r.refusal) != std::string::npos);
        }
    }
}

TEST_CASE("declarations are held against what is commanded and planned") {
    struct row {
        const char* name;
        std::vector<std::string> commands;
        std::function<void(declarations::document&)> edit;
        const char* refusal;
    };
    const auto plan = [](const char* region, std::uint32_t busy) {
        return [=](declarations::document& d) {
            d.services[0].planned_load = {{base::region_id(region), busy}};
        };
    };
    const auto remove_targets = [](std::size_t first, std::size_t count) {
        return [=](declarations::document& d) {
            auto& t = d.services[0].targets;
            const auto from = t.begin() + static_cast<std::ptrdiff_t>(first);
            t.erase(from, from + static_cast<std::ptrdiff_t>(count));
        };
    };
    const std::vector<std::string> shifted = {
        "shift web a -> b 50% cap 500Mbit/s over 10m"};
    const row rows[] = {
        {"one target less", {}, remove_targets(0, 1), ""},
        {"two targets less", {}, remove_targets(0, 2), "of the 12 it has left"},
        {"a region's targets all gone: the others take its load",
         {},
         remove_targets(0, 4),
         ""},
        {"two regions' targets all gone",
         {},
         remove_targets(0, 8),
         "planned 43.2 busy slots of the 24"},
        {"no targets left",
         {"drain target a1", "drain target b1", "drain target c1"},
         [](auto& d) {
             std::erase_if(d.services[0].targets, [](const auto& t) {
                 return !t.id.str().ends_with("1");
             });
         },
         "no target that takes new work"},
        {"a target less at a shift's destination", shifted,
         remove_targets(4, 1), "web in b would be planned 21.6"},
        {"the service of a shift", shifted, [](auto& d) { d.services.clear(); },
         "needs its service"},
        {"the link of a shift", shifted,
         [](auto& d) { d.links.erase(d.links.begin()); }, "has no link"},
        {"a link made narrower than a cap", shifted,
         [](auto& d) { d.links[0].megabits_per_second = 499; },
         "500 Mbit/s over a link of 499"},
        {"the service of a limit",
         {"limit web in a 500/s"},
         [](auto& d) { d.services.clear(); },
         "take it back first"},
        {"a declared load that fits", {}, plan("a", 24), ""},
        {"a declared load that does not", {}, plan("a", 25), "planned 25.0"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto before =
            std::get<configuration>(commanded(fleet(), r.commands));
        auto after = before;
        r.edit(after.declared);
        const auto why = control::objections(before, after);
        CHECK(why.empty() == std::string(r.refusal).empty());
        if (!why.empty()) {
            CAPTURE(why.front());
            CHECK(why.front().find(r.refusal) != std::string::npos);
        }
    }
}

TEST_CASE("a step that mends a fleet in trouble is no objection") {
    auto bad = fleet();
    for (const char* id : {"a1", "a2", "a3"}) {
        bad.commanded.drained_targets.emplace(id);
    }
    auto better = bad;
    better.commanded.drained_targets.erase(base::target_id("a1"));
    CHECK(control::objections(bad, better).empty());
    CHECK(control::objections(better, bad).size() == 1);
}
