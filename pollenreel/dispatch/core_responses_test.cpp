// What a target says of itself in its responses, and what follows from it.
#include "pollenreel/dispatch/core_test_support.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace pollenreel::dispatch::testing;
using namespace std::chrono_literals;
using request::outcome;

namespace {

request::response_info departing() {
    auto f = answered(200);
    f.departing = true;
    return f;
}

} // namespace

// An instance that was cut off from the store went on sending requests to a
// target that said in its responses that it was leaving (DRAIN).
TEST_CASE("a target that announced its departure gets no new requests") {
    struct row {
        const char* name;
        void (*later)(driver&);
        bool is_used; // again
    };
    const row rows[] = {
        {"the store has not told it yet", [](driver&) {}, false},
        {"its entry is written again as it was",
         [](driver& d) { d.publish(false, 1, {}); }, false},
        {"its failure domain is evacuated and returns",
         [](driver& d) {
             d.publish(false, 0, {});
             d.now += 1min;
             d.publish(false, 1, {});
         },
         false},
        {"it has started anew", [](driver& d) { d.publish(false, 1, {}, 2); },
         true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(false, 1);
        const auto id = opened(d.arrive());
        d.handle(request::attempt_connected{id});
        const auto out = d.handle(request::attempt_answered{id, departing()});
        CHECK(find<target_departing>(out) != nullptr);
        CHECK(find<request::forward_response>(out) != nullptr);
        r.later(d);
        CHECK((find<open_attempt>(d.arrive()) != nullptr) == r.is_used);
    }
}

TEST_CASE("a late response of an earlier start does not exclude a target") {
    driver d(false, 1);
    const auto id = opened(d.arrive());
    d.handle(request::attempt_connected{id});
    d.publish(false, 1, {}, 2);
    d.handle(request::attempt_answered{id, departing()});
    CHECK(find<open_attempt>(d.arrive()) != nullptr);
}

TEST_CASE("a response for another request or target tells no departure") {
    struct row {
        const char* name;
        bool id_matches;
        bool wrong_target;
    };
    const row rows[] = {
        {"another request", false, false},
        {"another target", true, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(false, 1);
        const auto id = opened(d.arrive());
        d.handle(request::attempt_connected{id});
        auto info = departing();
        info.id_matches = r.id_matches;
        info.wrong_target = r.wrong_target;
        const auto out = d.handle(request::attempt_answered{id, info});
        CHECK(find<target_departing>(out) == nullptr);
    }
}

TEST_CASE("a request is not sent to a target that departed meanwhile") {
    struct row {
        const char* name;
        void (*meanwhile)(driver&, base::attempt_id other);
    };
    const row rows[] = {
        {"a response said so",
         [](driver& d, base::attempt_id other) {
             d.handle(request::attempt_answered{other, departing()});
         }},
        {"the store said so",
         [](driver& d, base::attempt_id) { d.publish(false, 0, {}); }},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(false, 1);
        const auto other = opened(d.arrive());
        d.handle(request::attempt_connected{other});
        const auto id = opened(d.arrive()); // connects
        r.meanwhile(d, other);
        const auto out = d.handle(request::attempt_connected{id});
        CHECK(find<request::send_attempt>(out) == nullptr);
        CHECK(find<request::abandon_attempt>(out) != nullptr);
        REQUIRE(find<refuse>(out) != nullptr);
        CHECK(find<refuse>(out)->refusal.outcome == outcome::not_run);
    }
}

// A target that refused with a time to stay away was sent requests at the same
// rate as before (BUDGET).
TEST_CASE("a target that asks for a back-off gets no requests meanwhile") {
    struct row {
        const char* name;
        void (*later)(driver&);
        bool is_used;
    };
    const row rows[] = {
        {"at once", [](driver&) {}, false},
        {"shortly before its end", [](driver& d) { d.now += 1999ms; }, false},
        {"at its end", [](driver& d) { d.now += 2000ms; }, true},
        {"its entry is written again",
         [](driver& d) { d.publish(true, 1, {}); }, false},
        {"its failure domain is evacuated and returns",
         [](driver& d) {
             d.publish(true, 0, {});
             d.publish(true, 1, {});
         },
         false},
        {"it has started anew", [](driver& d) { d.publish(true, 1, {}, 2); },
         true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(true, 1);
        const auto id = opened(d.arrive());
        d.handle(request::attempt_connected{id});
        auto info = shed();
        info.back_off = 2000ms;
        const auto out = d.handle(request::attempt_answered{id, info});
        CHECK(find<target_backed_off>(out) != nullptr);
        r.later(d);
        const auto next = d.arrive();
        CHECK((find<open_attempt>(next) != nullptr) == r.is_used);
        if (!r.is_used) {
            const auto* refused = find<refuse>(next);
            REQUIRE(refused != nullptr);
            CHECK(refused->refusal.outcome == outcome::not_run);
            CHECK(refused->retry_after <= 2000ms);
        }
    }
}

TEST_CASE("a shorter back-off does not end a longer one") {
    driver d(true, 1);
    const auto first = opened(d.arrive());
    const auto second = opened(d.arrive());
    d.handle(request::attempt_connected{first});
    d.handle(request::attempt_connected{second});
    auto info = shed();
    info.back_off = 2000ms;
    d.handle(request::attempt_answered{first, info});
    info.back_off = 100ms;
    d.handle(request::attempt_answered{second, info});
    d.now += 1s;
    const auto out = d.arrive();
    REQUIRE(find<refuse>(out) != nullptr);
    CHECK(find<refuse>(out)->retry_after == 1000ms);
}

TEST_CASE("a request that connects when a back-off begins is not sent") {
    driver d(true, 1);
    const auto first = opened(d.arrive());
    const auto second = opened(d.arrive()); // connects
    d.handle(request::attempt_connected{first});
    auto info = shed();
    info.back_off = 2000ms;
    d.handle(request::attempt_answered{first, info});
    const auto out = d.handle(request::attempt_connected{second});
    CHECK(find<request::send_attempt>(out) == nullptr);
    CHECK(find<request::abandon_attempt>(out) != nullptr);
}

namespace {

request::response_info limited(std::optional<double> per_second) {
    auto f = answered(200);
    f.echoes_id = true;
    f.rate_limit = per_second;
    return f;
}

// Sends requests every 10 ms for that long; returns how many went out.
int send_for(driver& d, base::duration lasts, std::optional<double> limit) {
    int sent = 0;
    for (const auto until = d.now + lasts; d.now < until; d.now += 10ms) {
        const auto out = d.arrive();
        if (const auto* open = find<open_attempt>(out)) {
            ++sent;
            d.handle(request::attempt_connected{open->open.attempt});
            d.handle(
                request::attempt_answered{open->open.attempt, limited(limit)});
        } else {
            REQUIRE(find<refuse>(out) != nullptr);
            CHECK(find<refuse>(out)->refusal.outcome == outcome::not_run);
            CHECK(find<refuse>(out)->retry_after > 0ms);
        }
    }
    return sent;
}

} // namespace

// Targets got far more requests than the limit that they named (LIMIT).
TEST_CASE("a target gets no more requests than its limit allows") {
    for (const double limit : {0.0, 0.5, 4.7, 30.0}) {
        CAPTURE(limit);
        driver d(true, 1);
        CHECK(send_for(d, 10ms, limit) == 1); // learns the limit
        constexpr std::chrono::seconds window{4};
        for (int i = 0; i < 5; ++i) {
            const int sent = send_for(d, window, limit);
            CHECK(sent <= limit * window.count() * 1.5 + 5);
            CHECK(sent >= static_cast<int>(limit * window.count() * 0.5));
        }
    }
}

TEST_CASE("a limit ends when the target no longer names it") {
    driver d(true, 1);
    CHECK(send_for(d, 10ms, 1.0) == 1);
    CHECK(send_for(d, 4s, 1.0) <= 11);
    // The next request that is allowed is answered without a limit.
    CHECK(send_for(d, 4s, std::nullopt) > 100);
}

TEST_CASE("a limit is kept, or not, as the target's entry changes") {
    struct row {
        const char* name;
        void (*change)(driver&);
        bool is_kept;
    };
    const row rows[] = {
        {"written again", [](driver& d) { d.publish(true, 1, {}); }, true},
        {"evacuated and returned",
         [](driver& d) {
             d.publish(true, 0, {});
             d.publish(true, 1, {});
         },
         true},
        {"started anew", [](driver& d) { d.publish(true, 1, {}, 2); }, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        driver d(true, 1);
        CHECK(send_for(d, 10ms, 1.0) == 1);
        r.change(d);
        d.now += 10ms;
        int opened_count = 0;
        for (int i = 0; i < 10; ++i) {
            opened_count += find<open_attempt>(d.arrive()) != nullptr ? 1 : 0;
        }
        CHECK((opened_count <= 4) == r.is_kept);
    }
}

TEST_CASE("an older response does not end a limit") {
    driver d(true, 1);
    const auto older = opened(d.arrive());
    d.handle(request::attempt_connected{older});
    d.now += 10ms;
    const auto newer = opened(d.arrive());
    d.handle(request::attempt_connected{newer});
    const auto named = d.handle(request::attempt_answered{newer, limited(1.0)});
    CHECK(find<target_limit_changed>(named) != nullptr);
    const auto out =
        d.handle(request::attempt_answered{older, limited(std::nullopt)});
    CHECK(find<target_limit_changed>(out) == nullptr);
}
