#include "pollenreel/fleet/relay_test_support.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace pollenreel::fleet::testing;
using namespace std::chrono_literals;

namespace {

store::entry entry(const std::string& key, std::int64_t revision) {
    return {key, "", {revision}, {}};
}

class fixture {
public:
    fixture()
        : state({}, {}),
          f({"", {}, 1000ms}, decode, state, [](const change&, effect) {}) {}

    // Answers the listing that `asked` begins.
    follower::actions list(const follower::actions& asked,
                           std::vector<store::entry> targets,
                           std::int64_t revision) {
        CHECK(is_list(asked));
        targets.push_back(entry("c", 1));
        return f.on_list_reply(store::found_all{std::move(targets), {revision}},
                               now);
    }

    static bool is_list(const follower::actions& a) {
        return a.size() == 1 &&
               std::holds_alternative<follower::list>(a.front());
    }
    static std::int64_t watched_from(const follower::actions& a) {
        REQUIRE(a.size() == 1);
        const auto* w = std::get_if<follower::watch>(&a.front());
        REQUIRE(w != nullptr);
        return w->request.from.value;
    }

    fleet_state state;
    follower f;
    base::time_point now = start_time;
};

} // namespace

TEST_CASE("a follower lists, then watches from the listing's revision") {
    fixture x;
    const auto then = x.list(x.f.start(x.now), {entry("t/a", 3)}, 10);
    CHECK(x.watched_from(then) == 11);
    CHECK(x.state.is_complete());
    CHECK(x.state.target_count() == 1);
    CHECK(x.f.on_watch_report(
                 store::watch_changed{{written("t/b", 12), removed("t/a", 13)}},
                 x.now)
              .empty());
    CHECK(x.state.target_count() == 1);
    // A change that was seen already does not come back.
    CHECK(x.f.on_watch_report(store::watch_changed{{written("t/a", 9)}}, x.now)
              .empty());
    CHECK(x.state.target_count() == 1);
}

TEST_CASE("a follower carries on after failures") {
    struct row {
        const char* name;
        store::watch_report report;
        bool relists; // else it watches again from where it was
    };
    const row rows[] = {
        {"the connection broke", store::watch_cut{}, false},
        {"the history is gone", store::watch_compacted{{20}}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fixture x;
        x.list(x.f.start(x.now), {entry("t/a", 3)}, 10);
        CHECK(x.f.on_watch_report(store::watch_changed{{written("t/b", 17)}},
                                  x.now)
                  .empty());
        auto next = x.f.on_watch_report(r.report, x.now);
        if (next.empty()) {
            CHECK(x.f.tick(x.now).empty());
            x.now += 250ms;
            next = x.f.tick(x.now);
        }
        if (r.relists) {
            CHECK(x.is_list(next));
            CHECK(x.state.target_count() ==
                  2); // kept until the listing has ended
        } else {
            CHECK(x.watched_from(next) == 18);
        }
    }
}

// Found by a hunt (kavango-handles, trouble-3 --seed 200785995090): a watch
// that was asked for while the store was silent waited six seconds for an
// answer, though the store had long answered other calls.
TEST_CASE("a watch is asked anew when the store answers other calls again") {
    fixture x;
    CHECK(x.f.on_store_regained(x.now).empty()); // before anything is known
    const auto asked = x.f.start(x.now);
    CHECK(x.f.on_store_regained(x.now).empty()); // while it lists
    x.list(asked, {}, 10);
    CHECK(x.f.on_watch_report(store::watch_changed{{written("t/b", 17)}}, x.now)
              .empty());
    CHECK(x.watched_from(x.f.on_store_regained(x.now)) == 18);
    CHECK(x.f.tick(x.now + 1s).empty()); // no second one
}

TEST_CASE("a listing that fails is tried again") {
    fixture x;
    CHECK(x.f.start(x.now).size() == 1);
    CHECK(x.f.on_list_reply(store::unreachable{}, x.now).empty());
    CHECK_FALSE(x.state.is_complete());
    x.now += 1s;
    const auto then = x.list(x.f.tick(x.now), {}, 4);
    CHECK(x.watched_from(then) == 5);
}
