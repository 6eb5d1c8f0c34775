#include "pollenreel/report/burn.hpp"
#include "pollenreel/report/level_history.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace pollenreel;
using namespace pollenreel::report;
using namespace std::chrono_literals;

namespace {

const level_key web_a{base::service_id("web"), base::kind_id("read"),
                      base::region_id("a")};

level with_windows(std::array<level_counts, windows.size()> counts) {
    level l;
    l.objective = {990'000, 500ms}; // one bad request in a hundred is allowed
    l.in_window = counts;
    return l;
}

} // namespace

TEST_CASE("alarms need the long and the short window") {
    constexpr level_counts fine{1000, 1000};
    constexpr level_counts twice{980, 1000};   // burn rate 2
    constexpr level_counts seven{930, 1000};   // burn rate 7
    constexpr level_counts fifteen{850, 1000}; // burn rate 15
    constexpr level_counts none{};
    struct row {
        const char* name;
        std::array<level_counts, windows.size()> counts;
        report::alarm raised;
    };
    const row rows[] = {
        {"no requests", {none, none, none, none, none}, report::alarm::none},
        {"all well", {fine, fine, fine, fine, fine}, report::alarm::none},
        {"a fast burn",
         {fifteen, fine, fifteen, fine, fine},
         report::alarm::page},
        {"a fast burn that has ended",
         {fine, fifteen, fifteen, fine, fine},
         report::alarm::none},
        {"a short burst that matters not yet",
         {fifteen, fine, fine, fine, fine},
         report::alarm::none},
        {"a slower burn",
         {fine, seven, fine, seven, fine},
         report::alarm::page},
        {"a slower burn that has ended",
         {fine, fine, fine, seven, fine},
         report::alarm::none},
        {"a slow leak",
         {fine, fine, fine, twice, twice},
         report::alarm::ticket},
        {"a slow leak that has ended",
         {fine, fine, fine, fine, twice},
         report::alarm::none},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(alarm_of(with_windows(r.counts)) == r.raised);
    }
}

TEST_CASE("the history tells what was added in a window") {
    level_history h;
    const auto start = base::time_point(100h);
    // One request a second for two hours; every tenth is bad in the second.
    std::uint64_t good = 0;
    std::uint64_t total = 0;
    for (int second = 0; second < 7200; second += 15) {
        total += 15;
        good += second < 3600 ? 15 : 13;
        h.observe(web_a, {good, total}, start + std::chrono::seconds(second));
    }
    const auto now = start + 7199s;
    struct row {
        std::chrono::seconds window;
        level_counts counts;
    };
    const row rows[] = {
        {5min, {260, 300}}, {30min, {1560, 1800}}, {1h, {3120, 3600}},
        {6h, {6720, 7200}}, {72h, {6720, 7200}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.window.count());
        CHECK(h.within(web_a, r.window, now) == r.counts);
    }
    CHECK(h.minutes(web_a, now)[0] == level_counts{52, 60});
    CHECK(h.minutes(web_a, now)[59] == level_counts{52, 60});
    CHECK(h.hours(web_a, now)[0] == level_counts{3120, 3600});
    CHECK(h.hours(web_a, now)[1] == level_counts{3600, 3600});
    CHECK(h.hours(web_a, now)[2] == level_counts{});
    CHECK(h.within(web_a, 1h, now + 2h) == level_counts{});
    CHECK(h.within(web_a, 72h, now + 100h) == level_counts{});
    CHECK(h.within({}, 1h, now) == level_counts{});
}

TEST_CASE("levels add up exactly and pass through JSON unchanged") {
    service_levels one;
    one.instances = {base::instance_id("i-1")};
    one.covered = 100s;
    auto& l = one.levels[web_a];
    l = with_windows({level_counts{1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}});
    l.minutes[3] = {1, 2};
    l.hours[71] = {3, 4};
    l.latency.count = 1;
    l.latency.sum = l.latency.greatest = 5ms;
    l.latency.buckets[metrics::bucket_of(5ms)] = 1;
    auto other = one;
    other.instances = {base::instance_id("i-2")};
    other.covered = 50s;

    service_levels sum;
    sum.add(one);
    sum.add(other);
    CHECK(sum.instances.size() == 2);
    CHECK(sum.covered == 50s);
    CHECK(sum.levels.at(web_a).in_window[4] == level_counts{18, 20});
    CHECK(sum.levels.at(web_a).latency.count == 2);

    const auto text = boost::json::serialize(to_json(sum));
    const auto back = read_service_levels(boost::json::parse(text));
    REQUIRE(back.has_value());
    CHECK(boost::json::serialize(to_json(back.value())) == text);
    CHECK(back.value().levels.at(web_a).latency ==
          sum.levels.at(web_a).latency);
}

TEST_CASE("levels that are malformed are refused") {
    struct row {
        const char* name;
        const char* json;
    };
    const row rows[] = {
        {"no object", "3"},
        {"nothing", "{}"},
        {"a negative age", R"({"instances":[],"covered_s":-1,"levels":[]})"},
        {"a level without counts",
         R"({"instances":[],"covered_s":1,"levels":[{"service":"s"}]})"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(!read_service_levels(boost::json::parse(r.json)));
    }
}

TEST_CASE("the whole fleet comes first, then each region") {
    service_levels s;
    s.levels[web_a] = with_windows({level_counts{100, 100}, {}, {}, {}, {}});
    auto in_b = web_a;
    in_b.region = base::region_id("b");
    s.levels[in_b] = with_windows({level_counts{90, 100}, {}, {}, {}, {}});
    const auto rows = burn_rows(s);
    REQUIRE(rows.size() == 3);
    CHECK(rows[0].key.region.empty());
    CHECK(rows[0].rate[0] == doctest::Approx(5));
    CHECK(rows[1].rate[0] == doctest::Approx(0));
    CHECK(rows[2].rate[0] == doctest::Approx(10));
    CHECK(!rows[2].rate[1].has_value());
}
