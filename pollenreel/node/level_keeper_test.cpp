#include "pollenreel/node/level_keeper.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;
using namespace std::chrono_literals;

TEST_CASE("levels carry the declared objective, and only declared kinds") {
    declarations::configuration c;
    declarations::service s;
    s.id = base::service_id("web");
    s.kinds = {{base::kind_id("read"), {"GET"}, true, 500ms, 1}};
    c.declared.services = {s};
    const base::service_id web("web");
    const base::kind_id read("read");
    metrics::recorder r;
    using enum metrics::outcome;
    r.record({web, read, base::region_id("a"), answered}, 3ms, true);
    r.record({web, read, base::region_id("a"), target_error}, 3ms, false);
    r.record({web, read, {}, not_run}, 3ms, false);
    r.record({web, {}, {}, not_run}, 3ms, false);
    r.record({web, base::kind_id("gone"), {}, answered}, 3ms, true);

    node::level_keeper keeper;
    const base::time_point start(1h);
    CHECK(keeper.due(start));
    keeper.observe(r.read(), base::region_id("b"), start);
    CHECK(!keeper.due(start + 1s));
    const auto levels =
        keeper.read(base::instance_id("i"), c, start + 10s).levels;
    REQUIRE(levels.size() == 2);
    const auto& in_a = levels.at({web, read, base::region_id("a")});
    CHECK(in_a.in_window[0] == report::level_counts{1, 2});
    CHECK(in_a.objective.latency == 500ms);
    CHECK(in_a.latency.count == 2);
    CHECK(levels.at({web, read, base::region_id("b")}).in_window[0] ==
          report::level_counts{0, 1});
}
