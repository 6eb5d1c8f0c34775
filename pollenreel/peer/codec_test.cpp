#include "pollenreel/peer/codec.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;

peer::member sample_member() {
    return {base::instance_id("khomas-a-1"),
            base::failure_domain_id("khomas-a"),
            {"127.0.0.1", 7000},
            {"127.0.0.1", 7200},
            5,
            true};
}

} // namespace

TEST_CASE("a probe decodes to what was encoded") {
    const peer::gossip gossip{base::config_version(9),
                              77,
                              {{sample_member(), peer::member_state::suspect}},
                              {{base::config_version(9), 5, "bits"}}};
    const peer::probe sent{
        base::instance_id("khomas-a-1"), {"127.0.0.1", 7200}, 4, gossip};
    const auto decoded = peer::decode(peer::encode(sent));
    REQUIRE(decoded.has_value());
    const auto& probe = std::get<peer::probe>(*decoded);
    CHECK(probe.sender == sent.sender);
    CHECK(probe.reply_to == sent.reply_to);
    CHECK(probe.sequence == sent.sequence);
    CHECK(probe.gossip == sent.gossip);
}

TEST_CASE("each membership message decodes to its own type and content") {
    const base::instance_id id("khomas-a-1");
    const base::endpoint at{"127.0.0.1", 7200};
    const peer::message rows[] = {
        peer::probe{id, at, 1, {}},
        peer::probe_answer{id, 2, {}},
        peer::probe_request{id, at, 3, at},
        peer::news{id, {}},
        peer::sync_request{id, at, {1, 2}, true},
    };
    for (const auto& sent : rows) {
        CAPTURE(sent.index());
        const auto decoded = peer::decode(peer::encode(sent));
        REQUIRE(decoded.has_value());
        CHECK(decoded->index() == sent.index());
        CHECK(peer::encode(*decoded) == peer::encode(sent));
    }
}

TEST_CASE("a push and a pull decode to what was encoded") {
    const base::endpoint at{"127.0.0.1", 7001};
    const feed::push sent{at,
                          base::config_version(9),
                          {{base::config_version(7),
                            base::config_version(9),
                            {{3, 40, "new"}, {0, 2, ""}},
                            0xfeedULL}},
                          "whole"};
    const auto decoded = peer::decode(peer::encode(sent));
    REQUIRE(decoded.has_value());
    const auto& push = std::get<feed::push>(*decoded);
    CHECK(push.reply_to == at);
    CHECK(push.version == sent.version);
    CHECK(push.whole == sent.whole);
    REQUIRE(push.deltas.size() == 1);
    CHECK(push.deltas[0].from == sent.deltas[0].from);
    CHECK(push.deltas[0].to == sent.deltas[0].to);
    CHECK(push.deltas[0].patch == sent.deltas[0].patch);
    CHECK(push.deltas[0].checksum == sent.deltas[0].checksum);

    const auto pulled =
        peer::decode(peer::encode(feed::pull{at, base::config_version(4)}));
    REQUIRE(pulled.has_value());
    CHECK(std::get<feed::pull>(*pulled).have == base::config_version(4));
}

TEST_CASE("a digest decodes to what was encoded") {
    const base::endpoint at{"127.0.0.1", 7001};
    feed::digest sent{base::instance_id("i-1"),
                      at,
                      base::config_version(9),
                      std::chrono::milliseconds(17),
                      {{base::region_id("khomas"),
                        base::config_version(8),
                        45,
                        1,
                        {base::instance_id("i-7")},
                        3}}};
    for (const bool confirmed : {true, false}) {
        CAPTURE(confirmed);
        if (!confirmed) {
            sent.confirmed_ago.reset();
        }
        const auto decoded = peer::decode(peer::encode(sent));
        REQUIRE(decoded.has_value());
        const auto& digest = std::get<feed::digest>(*decoded);
        CHECK(digest.sender == sent.sender);
        CHECK(digest.applied == sent.applied);
        CHECK(digest.confirmed_ago == sent.confirmed_ago);
        CHECK(digest.floors == sent.floors);
    }
}

TEST_CASE("bytes that are not a message are rejected") {
    auto invalid = sample_member();
    invalid.peer_address = {"nowhere", 1};
    struct row {
        const char* name;
        std::string bytes;
    };
    const row rows[] = {
        {"an empty frame", ""},
        {"random bytes", "\xff\xff\xff\xff"},
        {"a truncated message",
         peer::encode(
             peer::probe{sample_member().instance, {"127.0.0.1", 1}, 1, {}})
             .substr(0, 9)},
        {"an invalid address",
         peer::encode(peer::news{sample_member().instance,
                                 {{}, 0, {{invalid, {}}}, {}}})},
        {"a sender without an identifier",
         peer::encode(peer::news{base::instance_id(), {}})},
        {"a push from an invalid address",
         peer::encode(feed::push{{"nowhere", 1}, {}, {}, {}})},
        {"too many bytes", std::string(peer::max_message_bytes + 1, 'x')},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(!peer::decode(r.bytes).has_value());
    }
}
