#include "pollenreel/fleet/announcer.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace std::chrono_literals;

namespace {

constexpr store::lease_id lease{7};

// An announcer that has written its key.
class fixture {
public:
    fixture() : subject({"i/1", "here", 3s}) {
        REQUIRE(next<store::grant_lease>() != nullptr);
        subject.on_reply(store::lease_held{lease, 3s}, now);
        REQUIRE(next<store::compare_and_swap>() != nullptr);
        CHECK(std::get<store::compare_and_swap>(*m_last).lease == lease);
        subject.on_reply(store::swapped{{5}}, now);
    }

    template <class Request>
    const Request* next() {
        m_last = subject.next_request(now);
        return m_last ? std::get_if<Request>(&*m_last) : nullptr;
    }

    announcer subject;
    base::time_point now{std::chrono::hours(1)};

private:
    std::optional<store::request> m_last;
};

} // namespace

TEST_CASE("an announced key is renewed with one request at a time") {
    fixture f;
    CHECK(f.subject.current_state() == announcer::state::announced);
    CHECK(f.next<store::keep_alive>() == nullptr);
    f.now += 1200ms;
    CHECK(f.next<store::keep_alive>() != nullptr);
    f.now += 5s;
    CHECK(f.next<store::keep_alive>() == nullptr); // no reply yet
    f.subject.on_reply(store::unanswered{}, f.now);
    f.now += 250ms;
    CHECK(f.next<store::keep_alive>() != nullptr);
}

// Guards both sides of the retry delay. Retries without a growing delay flood
// the store: 89 instances made 5,334 calls in 47 s, most of them during an
// outage of eight seconds (fleetbench: grown kavango, trouble-3). With a delay
// of 1 s, an instance noticed the end of a network cut 1.25 s late and kept
// using a departed target beyond its stable window (fleetbench: ageeb-tickets,
// cut_while_leaving --vary --seed 549690328313).
TEST_CASE("an outage causes few renewals and its end is detected quickly") {
    fixture f;
    f.now += 1200ms;
    const auto began = f.now;
    auto last = f.now;
    int request_count = 0;
    while (f.now - began < 8s) {
        if (f.next<store::keep_alive>() != nullptr) {
            ++request_count;
            CHECK(f.now - last <= 400ms);
            last = f.now;
            f.subject.on_reply(store::unreachable{}, f.now);
        }
        f.now += 10ms;
    }
    CHECK(request_count <= 8s / 400ms + 1);
    // A reply resets the delay.
    f.now += 400ms;
    REQUIRE(f.next<store::keep_alive>() != nullptr);
    f.subject.on_reply(store::lease_held{store::lease_id(1), 3s}, f.now);
    f.now += 1200ms;
    REQUIRE(f.next<store::keep_alive>() != nullptr);
    f.subject.on_reply(store::unreachable{}, f.now);
    f.now += 250ms;
    CHECK(f.next<store::keep_alive>() != nullptr);
}

TEST_CASE("a lost key is written again") {
    struct row {
        const char* name;
        bool seen_removed; // otherwise a renewal reports the lease gone
    };
    const row rows[] = {
        {"the lease expired", false},
        {"the watch reported its removal", true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fixture f;
        if (r.seen_removed) {
            f.subject.on_key_removed(f.now);
        } else {
            f.now += 1200ms;
            REQUIRE(f.next<store::keep_alive>() != nullptr);
            f.subject.on_reply(store::lease_gone{}, f.now);
        }
        CHECK(f.next<store::grant_lease>() != nullptr);
    }
}

TEST_CASE("the key of a previous run is overwritten") {
    announcer a({"i/1", "here"});
    base::time_point now{std::chrono::hours(1)};
    REQUIRE(a.next_request(now).has_value());
    a.on_reply(store::lease_held{lease, 3s}, now);
    REQUIRE(a.next_request(now).has_value());
    a.on_reply(store::conflicting{store::entry{"i/1", "", {42}, {}}}, now);
    const auto retry = a.next_request(now);
    REQUIRE(retry.has_value());
    CHECK(std::get<store::compare_and_swap>(*retry).expected.value == 42);
}

TEST_CASE("withdrawing revokes the lease and never announces again") {
    fixture f;
    f.subject.withdraw();
    CHECK(f.next<store::revoke_lease>() != nullptr);
    f.subject.on_reply(store::unanswered{}, f.now);
    f.now += 10s;
    CHECK_FALSE(f.subject.next_request(f.now).has_value());
}
