#include "pollenreel/request/connection_tracker.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::connection_id;

constexpr base::time_point start{1h};
const base::endpoint target{"127.0.0.1", 9000};

// Connections 1 to `count`, each answered at `start`, the last one last.
request::connection_tracker book_of(std::uint64_t count) {
    request::connection_tracker b({20s, 1s});
    for (std::uint64_t i = 1; i <= count; ++i) {
        b.on_opened(connection_id(i), target);
    }
    for (std::uint64_t i = 1; i <= count; ++i) {
        b.on_answered(connection_id(i), start);
    }
    return b;
}

} // namespace

TEST_CASE("which connection an attempt gets") {
    struct row {
        const char* name;
        std::uint64_t idle;
        bool idempotent;
        base::duration later;
        std::optional<connection_id> expected;
    };
    const row rows[] = {
        {"a new one when none is idle", 0, true, 0s, {}},
        {"the one that answered last", 3, true, 1s, connection_id(3)},
        {"none that was idle too long", 3, true, 21s, {}},
        {"an order gets one that just answered", 2, false, 500ms,
         connection_id(2)},
        {"an order gets a new one rather than one unproven of late",
         2,
         false,
         2s,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto b = book_of(r.idle);
        CHECK(b.acquire_idle(target, r.idempotent, start + r.later) ==
              r.expected);
        CHECK(b.count_open(target) == r.idle);
    }
}

TEST_CASE("a connection in use is not given to a second attempt") {
    auto b = book_of(1);
    CHECK(b.acquire_idle(target, true, start).has_value());
    CHECK(!b.acquire_idle(target, true, start).has_value());
}

TEST_CASE("silence on one connection gives up those as old as it") {
    auto b = book_of(4);
    const auto silent = b.acquire_idle(target, true, start + 1s).value();
    const auto fresh = b.acquire_idle(target, true, start + 1s).value();
    b.on_answered(fresh, start + 2s);
    const auto suspects = b.find_suspects(silent, start + 1s);
    CHECK(suspects ==
          std::vector<connection_id>{connection_id(1), connection_id(2)});
    for (const auto id : suspects) {
        b.on_closed(id);
    }
    b.on_closed(silent);
    CHECK(b.count_open(target) == 1);
    CHECK(b.acquire_idle(target, true, start + 2s) == fresh);
}

TEST_CASE("idle connections expire, those in use do not") {
    auto b = book_of(2);
    (void)b.acquire_idle(target, true, start);
    CHECK(b.find_expired(start + 20s).empty());
    CHECK(b.find_expired(start + 21s) ==
          std::vector<connection_id>{connection_id(1)});
}
