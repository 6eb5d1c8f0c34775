#include "pollenreel/lookup/table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;

routing::snapshot_ptr sample() {
    auto s = std::make_shared<routing::snapshot>();
    s->version = base::config_version(3);
    s->failure_domain = base::failure_domain_id("khomas-a");
    s->region_of = {
        {base::failure_domain_id("khomas-a"), base::region_id("khomas")},
        {base::failure_domain_id("khomas-b"), base::region_id("khomas")},
        {base::failure_domain_id("erongo-a"), base::region_id("erongo")}};
    for (const auto* domain : {"erongo-a", "khomas-b", "khomas-a"}) {
        s->instances.push_back({base::instance_id(std::string(domain) + "-1"),
                                base::failure_domain_id(domain),
                                {"127.0.0.1", 7000}});
    }
    s->services[base::service_id("catalogue")] = {};
    s->client_ranges = {{10, 19, base::failure_domain_id("erongo-a")}};
    return s;
}

} // namespace

TEST_CASE("a look-up names the nearest instances first") {
    struct row {
        const char* name;
        std::uint32_t from;
        const char* first;
        const char* last;
    };
    const row rows[] = {
        {"the caller's block decides", 15, "erongo-a-1", "khomas"},
        {"the last address of a block belongs to it", 19, "erongo-a-1",
         "khomas"},
        {"an uncovered address counts as here", 20, "khomas-a-1", "erongo-a-1"},
        {"an address before every block counts as here", 1, "khomas-a-1",
         "erongo-a-1"},
    };
    const lookup::table t(sample());
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto* body = t.find(base::service_id("catalogue"),
                                  lookup::caller_address{r.from});
        REQUIRE(body != nullptr);
        CHECK(body->find(r.first) < body->rfind(r.last));
    }
    CHECK(t.find(base::service_id("unknown"), lookup::caller_address{1}) ==
          nullptr);
}
