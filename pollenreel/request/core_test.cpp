#include "pollenreel/request/core.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::outcome;
using request::reason;

constexpr base::time_point start{1h};

routing::snapshot_ptr two_targets() {
    auto s = std::make_shared<routing::snapshot>();
    routing::service catalogue;
    catalogue.kinds = {
        {base::kind_id("browse"), {"GET"}, true, 500ms, 2},
        {base::kind_id("order"), {"POST"}, false, 500ms, 0},
    };
    for (const auto* id : {"cat-1", "cat-2"}) {
        routing::target t;
        t.id = base::target_id(id);
        catalogue.targets.push_back(t);
    }
    s->services[base::service_id("catalogue")] = catalogue;
    return s;
}

request::core ready_core() {
    request::core c({.seed = 1});
    (void)c.handle(request::snapshot_changed{two_targets()}, start);
    return c;
}

base::attempt_id start_request(request::core& c, const char* method) {
    const auto out = c.handle(
        request::incoming_request{
            base::request_id(1), base::service_id("catalogue"), method, {}, {}},
        start);
    return std::get<request::open_attempt>(out.at(0)).attempt;
}

} // namespace

TEST_CASE(
    "a request is retried after a broken connection only when that is safe") {
    struct row {
        const char* name;
        const char* method;
        bool sent;
        bool retried;
    };
    const row rows[] = {
        {"an order that was not sent", "POST", false, true},
        {"an order that was sent", "POST", true, false},
        {"an idempotent request that was sent", "GET", true, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto c = ready_core();
        const auto attempt = start_request(c, r.method);
        if (r.sent) {
            const auto out =
                c.handle(request::attempt_connected{attempt}, start);
            CHECK(std::holds_alternative<request::send_attempt>(out.at(0)));
        }
        const auto out = c.handle(request::attempt_lost{attempt}, start);
        REQUIRE(out.size() == 1);
        CHECK(std::holds_alternative<request::open_attempt>(out[0]) ==
              r.retried);
        if (!r.retried) {
            const auto& refused = std::get<request::refuse_request>(out[0]);
            CHECK(refused.refusal ==
                  request::refusal{outcome::unknown, reason::connection_lost});
            CHECK(c.requests_in_flight() == 0);
        }
    }
}

TEST_CASE("an expired deadline ends the request exactly once") {
    auto c = ready_core();
    const auto attempt = start_request(c, "POST");
    REQUIRE(c.next_wakeup() == start + 500ms);
    const auto out = c.handle(request::tick{}, start + 500ms);
    REQUIRE(out.size() == 2);
    CHECK(std::get<request::abandon_attempt>(out[0]).attempt == attempt);
    CHECK(std::get<request::refuse_request>(out[1]).refusal ==
          request::refusal{outcome::not_run, reason::deadline_expired});
    CHECK(c.handle(request::attempt_connected{attempt}, start + 501ms).empty());
    CHECK(!c.next_wakeup());
}

TEST_CASE("requests go to another region when no local target is reachable") {
    auto s = std::make_shared<routing::snapshot>(*two_targets());
    s->region = base::region_id("khomas");
    auto& targets = s->services.at(base::service_id("catalogue")).targets;
    targets[0].region = s->region;
    targets[1].region = base::region_id("erongo");
    request::core c({.seed = 1});
    (void)c.handle(request::snapshot_changed{s}, start);
    const auto start_attempt = [&](std::uint64_t id, base::time_point now) {
        const auto out =
            c.handle(request::incoming_request{base::request_id(id),
                                               base::service_id("catalogue"),
                                               "POST",
                                               {},
                                               {}},
                     now);
        return std::get<request::open_attempt>(out.at(0));
    };
    const auto local = start_attempt(1, start);
    CHECK(local.target.id == base::target_id("cat-1"));
    (void)c.handle(request::attempt_connect_failed{local.attempt}, start);
    CHECK(start_attempt(2, start).target.id == base::target_id("cat-2"));
    const auto probe = start_attempt(3, start + 1min);
    CHECK(probe.target.id == base::target_id("cat-1"));
    (void)c.handle(request::attempt_connected{probe.attempt}, start + 1min);
    (void)c.handle(request::attempt_answered{probe.attempt, {200, false, true}},
                   start + 1min);
    CHECK(start_attempt(4, start + 1min).target.id == base::target_id("cat-1"));
}

// Only targets that were added later had a slow start after a failure: the
// others got their whole work at once when they were back.
TEST_CASE("a target that was there from the start warms up after a failure") {
    auto s = std::make_shared<routing::snapshot>(*two_targets());
    s->services.at(base::service_id("catalogue")).slow_start = 10s;
    request::core c({.seed = 1});
    (void)c.handle(request::snapshot_changed{s}, start);
    std::uint64_t last = 0;
    const auto start_attempt = [&](base::time_point now) {
        const auto out =
            c.handle(request::incoming_request{base::request_id(++last),
                                               base::service_id("catalogue"),
                                               "GET",
                                               {},
                                               {}},
                     now);
        return std::get<request::open_attempt>(out.at(0));
    };
    const auto answer = [&](base::attempt_id attempt, base::time_point now) {
        (void)c.handle(request::attempt_connected{attempt}, now);
        (void)c.handle(request::attempt_answered{attempt, {200, false, true}},
                       now);
    };
    // Requests, one after the other, that go to the target in 400.
    const auto count_at = [&](const base::target_id& target,
                              base::time_point now) {
        int count = 0;
        for (int i = 0; i < 400; ++i) {
            const auto one = start_attempt(now);
            count += one.target.id == target ? 1 : 0;
            answer(one.attempt, now);
        }
        return count;
    };
    const auto failed = start_attempt(start);
    const auto repeat =
        c.handle(request::attempt_connect_failed{failed.attempt}, start);
    answer(std::get<request::open_attempt>(repeat.at(0)).attempt, start);
    // Until the probe that finds the target back.
    auto now = start + 1min;
    for (int i = 0; i < 4; ++i) {
        answer(start_attempt(now).attempt, now);
    }
    const auto cold = count_at(failed.target.id, now);
    const auto warm = count_at(failed.target.id, now + 10s);
    CHECK(cold > 10);
    CHECK(cold < 100);
    CHECK(warm > 190);
}
