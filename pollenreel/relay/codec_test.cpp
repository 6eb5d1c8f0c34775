#include "pollenreel/relay/codec.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;
using namespace std::chrono_literals;

TEST_CASE("requests and responses survive a round trip") {
    const auto request =
        relay::decode_request(relay::encode({{17}, 1500ms, true}));
    REQUIRE(request.has_value());
    CHECK(request->accepts_references);
    CHECK(request->known_revision.value == 17);
    CHECK(request->max_wait == 1500ms);

    const fleet::relay_response response{
        fleet::relay_status::current,
        {40},
        120ms,
        {{"t/a", {38}, store::entry{"t/a", std::string("\0x", 2), {38}, {}}},
         {"t/b", {39}, std::nullopt}},
        {{"c", {37}}}};
    const auto read = relay::decode_response(relay::encode(response));
    REQUIRE(read.has_value());
    CHECK(read->status == fleet::relay_status::current);
    CHECK(read->seen_revision.value == 40);
    CHECK(read->age == 120ms);
    REQUIRE(read->changes.size() == 2);
    CHECK(read->changes[0].key == "t/a");
    CHECK(read->changes[0].at.value == 38);
    REQUIRE(read->changes[0].value.has_value());
    CHECK(read->changes[0].value->value == std::string("\0x", 2));
    CHECK_FALSE(read->changes[1].value.has_value());
    REQUIRE(read->references.size() == 1);
    CHECK(read->references[0].key == "c");
    CHECK(read->references[0].at.value == 37);
}

TEST_CASE("deltas of large values survive a round trip") {
    fleet::relay_request request{{17}, 1500ms, true, true, {{"c", {16}}}};
    const auto asked = relay::decode_request(relay::encode(request));
    REQUIRE(asked.has_value());
    CHECK(asked->accepts_deltas);
    REQUIRE(asked->held.size() == 1);
    CHECK(asked->held[0].key == "c");
    CHECK(asked->held[0].at.value == 16);

    const fleet::value_delta delta{
        "c", {{{16}, {18}, std::string("\0x", 2)}, {{18}, {20}, "y"}}};
    const auto check = [](const fleet::value_delta& read) {
        CHECK(read.key == "c");
        REQUIRE(read.steps.size() == 2);
        CHECK(read.steps[0].base.value == 16);
        CHECK(read.steps[0].at.value == 18);
        CHECK(read.steps[0].bytes == std::string("\0x", 2));
        CHECK(read.steps[1].base.value == 18);
    };
    fleet::relay_response response{
        fleet::relay_status::current, {40}, 0ms, {{"t/b", {39}, std::nullopt}}};
    response.deltas = {delta};
    const auto read = relay::decode_response(relay::encode(response));
    REQUIRE(read.has_value());
    CHECK(read->changes.size() == 1);
    REQUIRE(read->deltas.size() == 1);
    check(read->deltas[0]);

    const auto fetch = relay::decode_fetch(
        relay::encode(fleet::value_request{"c", true, {16}}));
    REQUIRE(fetch.has_value());
    CHECK(fetch->key == "c");
    CHECK(fetch->accepts_delta);
    CHECK(fetch->held.value == 16);
    const auto fetched =
        relay::decode_fetched(relay::encode(fleet::relayed_value(delta)));
    REQUIRE(fetched.has_value());
    check(std::get<fleet::value_delta>(*fetched));
}

TEST_CASE("each status survives a round trip") {
    for (const auto s :
         {fleet::relay_status::current, fleet::relay_status::behind,
          fleet::relay_status::not_watching}) {
        const auto read =
            relay::decode_response(relay::encode({s, {}, {}, {}, {}}));
        REQUIRE(read.has_value());
        CHECK(read->status == s);
    }
}

// Guards against an old confirmation that reads as one within a bound, as it
// is cut to the longest time that messages hold.
TEST_CASE("confirmations survive a round trip unless they are too old") {
    struct row {
        std::optional<std::chrono::milliseconds> stated;
        std::optional<std::chrono::milliseconds> read;
    };
    const row rows[] = {
        {{}, {}},   {-1200ms, -1200ms}, {700ms, 700ms},
        {0ms, 0ms}, {-60s, -60s},       {-61s, {}},
    };
    for (const auto& r : rows) {
        fleet::relay_response sent{fleet::relay_status::current, {1}, {}, {}};
        sent.confirmed_after = r.stated;
        const auto read = relay::decode_response(relay::encode(sent));
        REQUIRE(read.has_value());
        CHECK(read->confirmed_after == r.read);
    }
}

TEST_CASE("times for which entries may be missing survive a round trip") {
    struct row {
        fleet::restore_times stated;
        fleet::restore_times read;
    };
    const row rows[] = {
        {{0ms, 0ms}, {0ms, 0ms}},
        {{1500ms, 700ms}, {1500ms, 700ms}},
        {{61s, 0ms}, {60s, 0ms}},
    };
    for (const auto& r : rows) {
        fleet::relay_response sent{fleet::relay_status::current, {1}, {}, {}};
        sent.restoring_for = r.stated;
        const auto read = relay::decode_response(relay::encode(sent));
        REQUIRE(read.has_value());
        CHECK(read->restoring_for.targets == r.read.targets);
        CHECK(read->restoring_for.instances == r.read.instances);
    }
}

TEST_CASE("malformed requests and responses are rejected") {
    struct row {
        const char* name;
        http::request request;
        http::response response;
    };
    const row rows[] = {
        {"another path, another status",
         {"POST", "/else", {}, ""},
         {503, {}, ""}},
        {"bytes that are not a message",
         {"POST", "/relay/changes", {}, "\xff\xff"},
         {200, {}, "\xff\xff"}},
        {"an unknown status",
         {"GET", "/", {}, ""},
         {200, {}, std::string("\x08\x09", 2)}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK_FALSE(relay::decode_request(r.request).has_value());
        CHECK_FALSE(relay::decode_response(r.response).has_value());
    }
}
