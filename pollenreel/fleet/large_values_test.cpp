#include "pollenreel/fleet/configuration_text.hpp"
#include "pollenreel/fleet/large_values.hpp"
#include "pollenreel/fleet/relay_test_support.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace pollenreel::fleet::testing;

namespace {

// Revisions of one configuration; each is the revision of its index.
std::vector<std::string> make_revisions(int count) {
    configuration_text c(1);
    c.add_routes(1400);
    std::vector<std::string> all{"", c.text()};
    for (int i = 2; i <= count; ++i) {
        c.change_route();
        all.push_back(c.text());
    }
    return all;
}

} // namespace

TEST_CASE("a value is restored from the steps since the one that is held") {
    constexpr int last = 100;
    const auto texts = make_revisions(last);
    large_values relay;
    for (int i = 1; i <= last; ++i) {
        relay.put(written("c", i, texts[static_cast<std::size_t>(i)]), true);
    }
    struct row {
        const char* name;
        std::int64_t held;
        std::size_t steps;
        std::size_t max_bytes;
    };
    const auto whole = texts[last].size() / 6;
    const row rows[] = {
        {"the revision before", 99, 1, 200},
        {"an earlier one", 90, 10, 2000},
        {"the oldest that is kept", 36, 64, max_inline_bytes * 2},
        {"an older one", 35, 1, whole},
        {"an unknown one", 1000, 1, whole},
        {"none", 0, 1, whole},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto d = relay.delta("c", {r.held});
        REQUIRE(d.has_value());
        CHECK(d->steps.size() == r.steps);
        CHECK(size_of(*d) <= r.max_bytes);
        large_values follower;
        if (r.held > 0 && r.held <= last) {
            follower.put(
                written("c", r.held, texts[static_cast<std::size_t>(r.held)]),
                false);
        }
        const auto c = follower.apply(*d);
        REQUIRE(c.has_value());
        CHECK(c->at.value == last);
        CHECK(c->value->value == texts[last]);
        CHECK(c->value->modified.value == last);
    }
}

TEST_CASE("steps that do not lead from the held value are refused") {
    const auto texts = make_revisions(4);
    large_values relay;
    for (int i = 1; i <= 4; ++i) {
        relay.put(written("c", i, texts[static_cast<std::size_t>(i)]), true);
    }
    const auto delta = *relay.delta("c", {2});
    auto gap = *relay.delta("c", {1});
    gap.steps.erase(gap.steps.begin() + 1);
    auto other_key = delta;
    other_key.key = "d";
    auto damaged = delta;
    damaged.steps[0].bytes.back() ^= 1;
    struct row {
        const char* name;
        std::int64_t held;
        std::string text;
        value_delta delta;
    };
    const row rows[] = {
        {"another revision is held", 1, texts[1], delta},
        {"the revision has another text", 2, texts[1], delta},
        {"a step is missing", 1, texts[1], gap},
        {"another key", 2, texts[2], other_key},
        {"damaged bytes", 2, texts[2], damaged},
        {"no steps", 2, texts[2], {"c", {}}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        large_values follower;
        follower.put(written("c", r.held, r.text), false);
        CHECK_FALSE(follower.apply(r.delta).has_value());
    }
}

TEST_CASE("a standby passes received steps on") {
    const auto texts = make_revisions(3);
    large_values relay;
    large_values standby;
    relay.put(written("c", 1, texts[1]), true);
    standby.put(written("c", 1, texts[1]), true);
    for (int i = 2; i <= 3; ++i) {
        relay.put(written("c", i, texts[static_cast<std::size_t>(i)]), true);
        const auto d = *relay.delta("c", {i - 1});
        standby.put(*standby.apply(d), true, &d);
    }
    const auto d = standby.delta("c", {1});
    REQUIRE(d.has_value());
    CHECK(d->steps.size() == 2);
    CHECK(d->steps.back().bytes == relay.delta("c", {2})->steps[0].bytes);
}

// A store that was restored from a copy gives revisions out again.
TEST_CASE("a value with a smaller revision replaces the known one") {
    const auto texts = make_revisions(4);
    large_values relay;
    for (int i = 1; i <= 3; ++i) {
        relay.put(written("c", i, texts[static_cast<std::size_t>(i)]), true);
    }
    relay.put(written("c", 2, texts[4]), true);
    REQUIRE(relay.find("c") != nullptr);
    CHECK(relay.find("c")->value == texts[4]);
    const auto whole = relay.delta("c", {1});
    REQUIRE(whole.has_value());
    CHECK(large_values().apply(*whole)->value->value == texts[4]);
}

TEST_CASE("small and removed values are not held") {
    const auto texts = make_revisions(1);
    for (const auto& next : {written("c", 2, "small"), removed("c", 2)}) {
        large_values v;
        v.put(written("c", 1, texts[1]), true);
        CHECK(v.held().size() == 1);
        v.put(next, true);
        CHECK(v.held().empty());
        CHECK(v.find("c") == nullptr);
        CHECK_FALSE(v.delta("c", {1}).has_value());
    }
}
