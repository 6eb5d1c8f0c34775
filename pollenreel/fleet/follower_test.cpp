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
          subject({"", {}, 1000ms}, decode, state,
                  [](const change&, effect, store::revision) {}) {}

    // Replies to the listing that `actions` starts.
    follower::actions list(const follower::actions& actions,
                           std::vector<store::entry> targets,
                           std::int64_t revision) {
        CHECK(is_list(actions));
        targets.push_back(entry("c", 1));
        return subject.on_list_reply(
            store::found_all{std::move(targets), {revision}}, now);
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
    follower subject;
    base::time_point now = start_time;
};

} // namespace

TEST_CASE("a follower lists, then watches from the listing's revision") {
    fixture f;
    const auto then = f.list(f.subject.start(f.now), {entry("t/a", 3)}, 10);
    CHECK(f.watched_from(then) == 11);
    CHECK(f.state.is_complete());
    CHECK(f.state.target_count() == 1);
    CHECK(f.subject
              .on_watch_report(store::watch_changed{{written("t/b", 12),
                                                     removed("t/a", 13)}},
                               f.now)
              .empty());
    CHECK(f.state.target_count() == 1);
    // An already seen change is ignored.
    CHECK(f.subject
              .on_watch_report(store::watch_changed{{written("t/a", 9)}}, f.now)
              .empty());
    CHECK(f.state.target_count() == 1);
}

TEST_CASE("a follower recovers from failures") {
    struct row {
        const char* name;
        store::watch_report report;
        bool relists; // otherwise it resumes the watch
    };
    const row rows[] = {
        {"the connection broke", store::watch_closed{}, false},
        {"the history was compacted", store::watch_compacted{{20}}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fixture f;
        f.list(f.subject.start(f.now), {entry("t/a", 3)}, 10);
        CHECK(f.subject
                  .on_watch_report(store::watch_changed{{written("t/b", 17)}},
                                   f.now)
                  .empty());
        auto next = f.subject.on_watch_report(r.report, f.now);
        if (next.empty()) {
            CHECK(f.subject.tick(f.now).empty());
            f.now += 250ms;
            next = f.subject.tick(f.now);
        }
        if (r.relists) {
            CHECK(f.is_list(next));
            CHECK(f.state.target_count() ==
                  2); // kept until the listing completes
        } else {
            CHECK(f.watched_from(next) == 18);
        }
    }
}

// A watch that was requested while the store was silent got no response for
// six seconds, although other calls had long succeeded again (fleetbench hunt:
// kavango-handles, trouble-3 --seed 200785995090).
TEST_CASE("a watch is restarted when other calls to the store succeed again") {
    fixture f;
    CHECK(
        f.subject.on_store_regained(f.now).empty()); // before anything is known
    const auto actions = f.subject.start(f.now);
    CHECK(f.subject.on_store_regained(f.now).empty()); // while it lists
    f.list(actions, {}, 10);
    CHECK(
        f.subject
            .on_watch_report(store::watch_changed{{written("t/b", 17)}}, f.now)
            .empty());
    CHECK(f.watched_from(f.subject.on_store_regained(f.now)) == 18);
    CHECK(f.subject.tick(f.now + 1s).empty()); // no second one
}

TEST_CASE("a failed listing is retried") {
    fixture f;
    CHECK(f.subject.start(f.now).size() == 1);
    CHECK(f.subject.on_list_reply(store::unreachable{}, f.now).empty());
    CHECK_FALSE(f.state.is_complete());
    f.now += 1s;
    const auto then = f.list(f.subject.tick(f.now), {}, 4);
    CHECK(f.watched_from(then) == 5);
}
