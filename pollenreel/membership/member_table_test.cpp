#include "pollenreel/membership/member_table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using peer::member_state;

constexpr base::time_point start{1h};

peer::member make_member(const char* id, std::uint64_t incarnation,
                         bool leaving = false) {
    return {base::instance_id(id), base::failure_domain_id("khomas-a"),
            {"127.0.0.1", 7000},   {"127.0.0.1", 7200},
            incarnation,           leaving};
}

membership::member_table sample_table() {
    membership::member_table r(make_member("a", 1), start);
    r.merge({make_member("b", 5), member_state::live}, start);
    return r;
}

} // namespace

TEST_CASE("the greatest incarnation and state wins") {
    struct row {
        const char* name;
        peer::member_update update;
        bool merged;
    };
    const row rows[] = {
        {"the same update", {make_member("b", 5), member_state::live}, false},
        {"an older incarnation",
         {make_member("b", 4), member_state::dead},
         false},
        {"a suspicion", {make_member("b", 5), member_state::suspect}, true},
        {"leaving", {make_member("b", 5, true), member_state::live}, true},
        {"a refutation", {make_member("b", 6), member_state::live}, true},
        {"the death of an unknown member",
         {make_member("c", 1), member_state::dead},
         false},
        {"a new member", {make_member("c", 1), member_state::live}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto members = sample_table();
        CHECK(members.merge(r.update, start) == r.merged);
    }
}

TEST_CASE("tables that merge the same updates in any order agree") {
    const peer::member_update updates[] = {
        {make_member("b", 5), member_state::suspect},
        {make_member("b", 6), member_state::live},
        {make_member("c", 2), member_state::live},
        {make_member("c", 2), member_state::suspect},
        {make_member("c", 2), member_state::dead},
    };
    auto forwards = sample_table();
    for (const auto& u : updates) {
        forwards.merge(u, start);
    }
    auto backwards = sample_table();
    backwards.merge(updates[2], start); // adds c
    for (auto u = std::rbegin(updates); u != std::rend(updates); ++u) {
        backwards.merge(*u, start);
    }
    CHECK(forwards.digest() == backwards.digest());
    CHECK(forwards.digest() != sample_table().digest());
}

TEST_CASE("dead members are kept for a time and return when live") {
    auto members = sample_table();
    const base::instance_id b("b");
    members.set_state(b, member_state::dead, start);
    members.remove_expired_tombstones(start + membership::tombstone_lifetime -
                                      1s);
    CHECK(members.find(b) != nullptr);
    members.remove_expired_tombstones(start + membership::tombstone_lifetime);
    CHECK(members.find(b) == nullptr);
    CHECK(members.merge({make_member("b", 6), member_state::live}, start));
}

TEST_CASE("the applied version of a restarted member is unknown") {
    auto members = sample_table();
    const base::instance_id b("b");
    CHECK(members.raise_applied(b, base::config_version(7)));
    CHECK(!members.raise_applied(b, base::config_version(6)));
    members.merge({make_member("b", 9), member_state::live}, start);
    CHECK(members.find(b)->applied == base::config_version());
}
