#include "pollenreel/feed/store_follower.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using feed::store_follower;

constexpr base::time_point start{1h};

store::entry entry(const char* value, std::int64_t revision) {
    return {"k", value, {revision}};
}

store::reply found(const char* value, std::int64_t modified, std::int64_t at) {
    return store::found{entry(value, modified), {at}};
}

store::watch_report changed(const char* value, std::int64_t at) {
    return store::watch_changed{{{"k", {at}, entry(value, at)}}};
}

// What a step asks for: the revision that a watch is opened from, 0 for a
// read of the value, -1 for one without, -2 for closing the watch.
std::vector<std::int64_t> asked(const store_follower::step& s) {
    std::vector<std::int64_t> list;
    for (const auto& e : s.effects) {
        if (const auto* open = std::get_if<feed::open_watch>(&e)) {
            list.push_back(open->watch.from.value);
        } else if (const auto* ask = std::get_if<feed::ask_store>(&e)) {
            list.push_back(std::get<store::read>(ask->request).keys_only ? -1
                                                                         : 0);
        } else {
            list.push_back(-2);
        }
    }
    return list;
}

using list = std::vector<std::int64_t>;

// A follower that has read "a" at 5 and watches from 8.
store_follower watching() {
    store_follower f("k", 1);
    CHECK(asked(f.start(start)) == list{0});
    CHECK(asked(f.on_reply(found("a", 5, 7), start)) == list{8});
    return f;
}

} // namespace

TEST_CASE("a cut watch resumes where it broke") {
    auto f = watching();
    CHECK(f.on_report(changed("b", 9), start).values ==
          std::vector<std::string>{"b"});
    CHECK(asked(f.on_report(store::watch_closed{}, start)).empty());
    CHECK(asked(f.on_tick(start + 10ms)).empty()); // not at once
    CHECK(asked(f.on_tick(start + feed::least_backoff)) == list{10});
}

TEST_CASE("a compacted watch reads again") {
    auto f = watching();
    CHECK(asked(f.on_report(store::watch_compacted{{20}}, start)) == list{0});
    const auto step = f.on_reply(found("z", 20, 21), start);
    CHECK(step.values == std::vector<std::string>{"z"});
    CHECK(asked(step) == list{22});
}

TEST_CASE("a check finds what the watch does not tell") {
    struct row {
        const char* name;
        store::reply reply;
        list expected;
        bool confirmed; // by this check
    };
    const row rows[] = {
        {"nothing newer", found("", 5, 7), {}, true},
        {"something newer: the watch is replaced",
         found("", 9, 9),
         {-2, 8},
         false},
        {"a store that was set back: it is read again",
         found("", 2, 2),
         {-2},
         false},
        {"no answer: the watch stays", store::unanswered{}, {}, false},
        {"no connection: the watch stays", store::unreachable{}, {}, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto f = watching();
        const auto later = start + feed::check_period;
        CHECK(asked(f.on_tick(later)) == list{-1});
        CHECK(asked(f.on_tick(later + 100ms)).empty()); // one at a time
        CHECK(asked(f.on_reply(r.reply, later + 200ms)) == r.expected);
        CHECK((f.confirmed() == later) == r.confirmed);
    }
}

TEST_CASE("a store set back to the beginning is read from there") {
    auto f = watching();
    (void)f.on_tick(start + feed::check_period);
    (void)f.on_reply(found("", 2, 2), start + feed::check_period);
    const auto retry = start + feed::check_period + feed::least_backoff;
    CHECK(asked(f.on_tick(retry)) == list{0});
    CHECK(asked(f.on_reply(found("c", 2, 3), retry)) == list{4});
}

TEST_CASE("tries become rarer while the store is away") {
    store_follower f("k", 1);
    CHECK(asked(f.start(start)) == list{0});
    int tries = 0;
    for (auto now = start; now < start + 60s; now += 100ms) {
        if (!f.on_tick(now).effects.empty()) {
            ++tries;
        }
        (void)f.on_reply(store::unreachable{}, now);
    }
    // Between most_backoff and half of it, after the first few.
    CHECK(tries >= 15);
    CHECK(tries <= 35);
}

TEST_CASE("stopping closes the watch and late replies change nothing") {
    auto f = watching();
    CHECK(asked(f.on_tick(start + feed::check_period)) == list{-1});
    CHECK(asked(f.stop()) == list{-2});
    CHECK(asked(f.start(start + 3s)).empty()); // a reply is still owed
    CHECK(asked(f.on_reply(found("", 99, 99), start + 3s)).empty());
    CHECK(asked(f.on_tick(start + 3100ms)) == list{0});
    CHECK(f.on_report(changed("stale", 99), start + 4s).values.empty());
}
