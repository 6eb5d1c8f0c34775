#include "pollenreel/peer/codec.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;

peer::member sample() {
    return {base::instance_id("khomas-a-1"),
            base::failure_domain_id("khomas-a"),
            {"127.0.0.1", 7000},
            {"127.0.0.1", 7200},
            5,
            true};
}

} // namespace

TEST_CASE("a heartbeat survives the wire") {
    const peer::heartbeat sent{sample(), base::config_version(9), {sample()}};
    const auto got = peer::decode(peer::encode(sent));
    REQUIRE(got.has_value());
    const auto& back = std::get<peer::heartbeat>(*got);
    CHECK(back.sender == sent.sender);
    CHECK(back.applied == sent.applied);
    CHECK(back.known == sent.known);
}

TEST_CASE("bytes that are no message are refused") {
    auto nowhere = sample();
    nowhere.peer_address = {"nowhere", 1};
    struct row {
        const char* name;
        std::string bytes;
    };
    const row rows[] = {
        {"an empty frame", ""},
        {"random bytes", "\xff\xff\xff\xff"},
        {"a cut message",
         peer::encode(peer::heartbeat{sample(), {}, {}}).substr(0, 9)},
        {"an impossible address",
         peer::encode(peer::heartbeat{nowhere, {}, {}})},
        {"too many bytes", std::string(peer::most_message_bytes + 1, 'x')},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(!peer::decode(r.bytes).has_value());
    }
}
