#include "pollenreel/membership/roster.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using peer::member_state;

constexpr base::time_point start{1h};

peer::member named(const char* id, std::uint64_t incarnation,
                   bool leaving = false) {
    return {base::instance_id(id), base::failure_domain_id("khomas-a"),
            {"127.0.0.1", 7000},   {"127.0.0.1", 7200},
            incarnation,           leaving};
}

membership::roster sample() {
    membership::roster r(named("a", 1), start);
    r.merge({named("b", 5), member_state::live}, start);
    return r;
}

} // namespace

TEST_CASE("the greatest incarnation and state wins") {
    struct row {
        const char* name;
        peer::member_update update;
        bool taken;
    };
    const row rows[] = {
        {"the same again", {named("b", 5), member_state::live}, false},
        {"an older incarnation", {named("b", 4), member_state::dead}, false},
        {"a suspicion", {named("b", 5), member_state::suspect}, true},
        {"leaving", {named("b", 5, true), member_state::live}, true},
        {"a refutation", {named("b", 6), member_state::live}, true},
        {"the death of a stranger", {named("c", 1), member_state::dead}, false},
        {"a newcomer", {named("c", 1), member_state::live}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto members = sample();
        CHECK(members.merge(r.update, start) == r.taken);
    }
}

TEST_CASE("instances that heard the same in any order agree") {
    const peer::member_update heard[] = {
        {named("b", 5), member_state::suspect},
        {named("b", 6), member_state::live},
        {named("c", 2), member_state::live},
        {named("c", 2), member_state::suspect},
        {named("c", 2), member_state::dead},
    };
    auto forwards = sample();
    for (const auto& u : heard) {
        forwards.merge(u, start);
    }
    auto backwards = sample();
    backwards.merge(heard[2], start); // names c
    for (auto u = std::rbegin(heard); u != std::rend(heard); ++u) {
        backwards.merge(*u, start);
    }
    CHECK(forwards.digest() == backwards.digest());
    CHECK(forwards.digest() != sample().digest());
}

TEST_CASE("the dead are remembered for a time, and return when they live") {
    auto members = sample();
    const base::instance_id b("b");
    members.judge(b, member_state::dead, start);
    members.forget_dead(start + membership::tombstone_time - 1s);
    CHECK(members.find(b) != nullptr);
    members.forget_dead(start + membership::tombstone_time);
    CHECK(members.find(b) == nullptr);
    CHECK(members.merge({named("b", 6), member_state::live}, start));
}

TEST_CASE("what a restarted member applies is not known") {
    auto members = sample();
    const base::instance_id b("b");
    CHECK(members.set_applied(b, base::config_version(7)));
    CHECK(!members.set_applied(b, base::config_version(6)));
    members.merge({named("b", 9), member_state::live}, start);
    CHECK(members.find(b)->applied == base::config_version());
}
