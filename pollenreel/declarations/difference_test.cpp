#include "pollenreel/declarations/difference.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace pollenreel;
using namespace pollenreel::declarations;

namespace {

document small() {
    document d;
    d.fleet_instances = 2;
    d.regions = {{base::region_id("north"), {base::failure_domain_id("n-a")}},
                 {base::region_id("south"), {base::failure_domain_id("s-a")}}};
    d.links = {{base::region_id("north"), base::region_id("south"), 100}};
    d.client_blocks = {{"10.0.0.0/16", base::failure_domain_id("n-a")}};
    service s;
    s.id = base::service_id("web");
    s.max_connections_per_target = 10;
    s.kinds = {{base::kind_id("read"),
                {"GET"},
                true,
                std::chrono::milliseconds(500),
                1}};
    s.targets = {{base::target_id("web-1"),
                  base::failure_domain_id("n-a"),
                  {"127.0.0.1", 1000},
                  6},
                 {base::target_id("web-2"),
                  base::failure_domain_id("s-a"),
                  {"127.0.0.1", 1001},
                  6}};
    d.services = {s};
    return d;
}

} // namespace

TEST_CASE("a difference names what an operator changed, and only that") {
    struct row {
        const char* name;
        void (*edit)(document&);
        std::vector<std::string> lines;
    };
    const row rows[] = {
        {"nothing", [](document&) {}, {}},
        {"another order of the same targets",
         [](document& d) {
             std::swap(d.services[0].targets[0], d.services[0].targets[1]);
         },
         {}},
        {"a number",
         [](document& d) { d.services[0].targets[1].slots = 8; },
         {"~ services/web/targets/web-2/slots: 6 -> 8"}},
        {"a removed target",
         [](document& d) { d.services[0].targets.pop_back(); },
         {R"(- services/web/targets/web-2: {"id":"web-2",)"
          R"("failure_domain":"s-a","address":"127.0.0.1:1001","slots":6})"}},
        {"an added domain and a smaller link",
         [](document& d) {
             d.regions[0].failure_domains.emplace_back("n-b");
             d.links[0].megabits_per_second = 50;
         },
         {"+ regions/north/failure_domains/n-b: n-b",
          "~ links/north--south/megabits_per_second: 100 -> 50"}},
        {"a moved client block",
         [](document& d) {
             d.client_blocks[0].failure_domain = base::failure_domain_id("s-a");
         },
         {"~ client_blocks/10.0.0.0/16/failure_domain: n-a -> s-a"}},
        {"a service of many targets, counted",
         [](document& d) {
             d.services.push_back(d.services[0]);
             d.services[1].id = base::service_id("big");
         },
         {R"(+ services/big: {"id":"big","max_connections_per_target":10,)"
          R"("kinds":1,"targets":2)"}},
        {"a kind's idempotence",
         [](document& d) { d.services[0].kinds[0].idempotent = false; },
         {"~ services/web/kinds/read/idempotent: true -> false"}},
        {"an emptied service",
         [](document& d) {
             d.services[0].kinds.clear();
             d.services[0].targets.clear();
         },
         {"- services/web/kinds/read: ", "- services/web/targets/web-1: ",
          "- services/web/targets/web-2: "}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto after = small();
        r.edit(after);
        const auto items = difference(small(), after);
        REQUIRE(items.size() == r.lines.size());
        for (std::size_t i = 0; i < items.size(); ++i) {
            CHECK(to_text(items[i]).starts_with(r.lines[i]));
        }
    }
}
