#include "pollenreel/share/claimant.hpp"

#include "pollenreel/share/terms.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using share::ppm;

constexpr base::time_point start{1h};
const base::region_id khomas("khomas");
const share::incarnation_id self{base::instance_id("a"), 7};
const auto pair = share::region_pair(khomas, base::region_id("erongo"));
constexpr ppm floor_part{100};

share::claimant make_claimant() {
    share::claimant c(self, {}, floor_part);
    c.set_demand(pair, share::whole);
    return c;
}

} // namespace

TEST_CASE("only the grant for the latest request is used") {
    struct row {
        const char* name;
        share::grant answer;
        ppm usable;
    };
    const auto of = [](std::uint64_t incarnation, std::uint64_t sequence) {
        return share::grant{{base::instance_id("a"), incarnation},
                            khomas,
                            1,
                            sequence,
                            {{pair, {500}}},
                            {}};
    };
    const row rows[] = {
        {"the latest request", of(7, 2), {600}},
        {"an earlier request", of(7, 1), {100}},
        {"a request of this instance before its restart", of(6, 2), {100}},
    };
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        auto c = make_claimant();
        REQUIRE(c.next_request(khomas, start));
        CHECK(!c.next_request(khomas, start + 900ms));
        REQUIRE(c.next_request(khomas, start + 1s));
        c.on_grant(r.answer, start + 2s);
        CHECK(c.share_of(pair, start + 2s).now == r.usable);
    }
}

TEST_CASE("a share expires relative to the time of its request") {
    auto c = make_claimant();
    REQUIRE(c.next_request(khomas, start));
    c.on_grant({self, khomas, 1, 1, {{pair, {500}}}, {}}, start + 10min);
    const auto s = c.share_of(pair, start + 10min);
    CHECK(s.now == ppm{600});
    CHECK(s.after == floor_part);
    CHECK(s.until == start + share::share_term);
    CHECK(c.share_of(pair, s.until).now == floor_part);
}

TEST_CASE("a share without demand is returned") {
    auto c = make_claimant();
    (void)c.next_request(khomas, start);
    c.on_grant({self, khomas, 1, 1, {{pair, {500}}}, {}}, start);
    c.set_demand(pair, {});
    auto next = c.next_request(khomas, start + share::request_period);
    REQUIRE(next);
    CHECK(next->items[0] == share::request_item{pair, {500}, {}});
    c.on_grant({self, khomas, 1, 2, {{pair, {}}}, {}}, start + 6s);
    CHECK(c.share_of(pair, start + 6s).now == floor_part);
    CHECK(c.owners().empty());
}
