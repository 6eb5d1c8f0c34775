// Tests of following the store through a relay: journal, choice and fallback.
#include "pollenreel/fleet/change_journal.hpp"
#include "pollenreel/fleet/configuration_text.hpp"
#include "pollenreel/fleet/relay_choice.hpp"
#include "pollenreel/fleet/relay_test_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace pollenreel::fleet::testing;
using namespace std::chrono_literals;

namespace {

std::vector<std::int64_t>
revisions(const std::optional<std::vector<store::key_change>>& found) {
    std::vector<std::int64_t> all;
    all.reserve(found ? found->size() : 0);
    for (const auto& c : found.value_or(std::vector<store::key_change>())) {
        all.push_back(c.at.value);
    }
    return all;
}

// A listing with two instances whose links are wider than that of others.
store::found_all two_watchers(std::vector<store::entry> more = {}) {
    more.push_back({"i/i-1", "100", {1}, {}});
    more.push_back({"i/i-2", "200", {2}, {}});
    return {std::move(more), {31}};
}

} // namespace

TEST_CASE("a journal keeps the latest change of each key since its reset") {
    change_journal j;
    j.reset({10});
    CHECK_FALSE(j.changes_between({9}, {99}).has_value());
    CHECK(revisions(j.changes_between({10}, {99})).empty());
    j.add(written("t/a", 11));
    j.add(written("t/b", 12));
    j.add(removed("t/a", 12)); // one revision may change several keys
    j.add(written("t/c", 15));
    CHECK(revisions(j.changes_between({10}, {99})) ==
          std::vector<std::int64_t>{12, 12, 15});
    CHECK(revisions(j.changes_between({12}, {99})) ==
          std::vector<std::int64_t>{15});
    CHECK(revisions(j.changes_between({10}, {12})) ==
          std::vector<std::int64_t>{12, 12});
    j.reset({20});
    CHECK_FALSE(j.changes_between({15}, {99}).has_value());
}

TEST_CASE("a journal is bounded and detects that changes were dropped") {
    change_journal j;
    j.reset({0});
    const auto most = static_cast<std::int64_t>(change_journal::max_changes);
    for (std::int64_t i = 1; i <= most + 5; ++i) {
        j.add(written("t/" + std::to_string(i), i));
    }
    CHECK_FALSE(j.changes_between({4}, {99'999}).has_value());
    REQUIRE(j.changes_between({5}, {99'999}).has_value());
    CHECK(j.changes_between({5}, {99'999})->size() ==
          change_journal::max_changes);
}

TEST_CASE("instances of a region agree on the watchers") {
    std::vector<instance> live;
    live.reserve(11);
    for (int i = 0; i < 10; ++i) {
        live.push_back(
            make_instance("i-" + std::to_string(i), i < 8 ? "a" : "b"));
    }
    live.push_back(make_instance("without-relay", "a"));
    live.back().relay_endpoint.reset();
    std::set<std::string> watchers;
    std::map<std::string, int> roles;
    for (const auto& self : live) {
        const auto c = choose_relay(live, self);
        ++roles[std::string(to_string(c.role))];
        if (!c.watcher.empty()) {
            watchers.insert(self.region.str() + c.watcher.str());
        }
    }
    // Region a has eight instances, region b has two.
    CHECK(watchers.size() == 1);
    CHECK(roles["watcher"] == 4);
    CHECK(roles["standby"] == 4);
    CHECK(roles["follower"] == 2);
    CHECK(roles["alone"] == 1); // it has no relay endpoint
    CHECK(choose_relay({live[0], live[8]}, live[0]).role == relay_role::alone);
}

TEST_CASE("the instances with the widest links are the watchers") {
    struct row {
        const char* name;
        std::vector<double> links; // Mbit/s, 0 if unknown
        std::set<std::size_t> candidates;
    };
    const row rows[] = {
        {"two are wider", {10, 200, 10, 100}, {1, 3}},
        {"some are unknown", {0, 10, 0, 20, 0}, {1, 3}},
        {"three are equally wide", {10, 200, 200, 200}, {1, 2, 3}},
        {"two in all", {10, 200}, {0, 1}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::vector<instance> live;
        for (std::size_t i = 0; i < r.links.size(); ++i) {
            live.push_back(make_instance("i-" + std::to_string(i), "a"));
            live.back().link_mbps = r.links[i];
        }
        std::set<std::size_t> watchers;
        for (std::size_t i = 0; i < live.size(); ++i) {
            if (choose_relay(live, live[i]).role == relay_role::watcher) {
                watchers.insert(i);
            }
        }
        CHECK(watchers.size() == watchers_per_region);
        CHECK(std::includes(r.candidates.begin(), r.candidates.end(),
                            watchers.begin(), watchers.end()));
    }
}

TEST_CASE("an instance polls the first relay that it need not avoid") {
    // The higher the number, the sooner it is a relay.
    std::vector<instance> live;
    for (int i = 0; i < 8; ++i) {
        live.push_back(make_instance("i-" + std::to_string(i), "a"));
        live.back().link_mbps = 10 * i;
    }
    struct row {
        const char* name;
        std::size_t self;
        bool is_rejected;
        std::vector<std::string> avoided;
        const char* polled;
        relay_role role;
    };
    const std::vector<std::string> relays = {"i-7", "i-6", "i-5",
                                             "i-4", "i-3", "i-2"};
    const row rows[] = {
        {"none to avoid", 0, false, {}, "i-7", relay_role::follower},
        {"the first", 0, false, {"i-7"}, "i-6", relay_role::follower},
        {"the second", 0, false, {"i-6"}, "i-7", relay_role::follower},
        {"both", 0, false, {"i-7", "i-6"}, "i-5", relay_role::follower},
        {"all", 0, false, relays, "", relay_role::follower},
        {"a standby, none", 3, false, {}, "i-7", relay_role::standby},
        {"a standby, both",
         3,
         false,
         {"i-7", "i-6"},
         "i-5",
         relay_role::standby},
        {"a standby polls none after itself",
         3,
         false,
         {"i-7", "i-6", "i-5", "i-4"},
         "",
         relay_role::standby},
        {"a watcher", 7, false, {}, "", relay_role::watcher},
        {"a rejected watcher", 7, true, {}, "i-6", relay_role::follower},
        {"a rejected watcher that must avoid most",
         7,
         true,
         {"i-6", "i-5", "i-4", "i-3", "i-2"},
         "i-1",
         relay_role::follower},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::set<base::instance_id> avoided;
        for (const auto& id : r.avoided) {
            avoided.insert(base::instance_id(id));
        }
        const auto chosen =
            choose_relay(live, live[r.self], avoided, r.is_rejected);
        CHECK(chosen.role == r.role);
        CHECK(chosen.watcher.str() == r.polled);
        CHECK(chosen.rank == 7 - r.self);
    }
}

TEST_CASE("an instance without a usable relay watches the store itself") {
    struct row {
        const char* name;
        std::optional<relay_response> answer;
        bool is_usable;
    };
    const row rows[] = {
        {"no response", std::nullopt, false},
        {"it is not watching", relay_response{}, false},
        {"its journal is too short",
         relay_response{relay_status::behind, {40}, {}, {}}, false},
        {"its last contact with the store is too old",
         relay_response{relay_status::current, {40}, 1900ms, {}}, false},
        {"it is current",
         relay_response{relay_status::current, {40}, 300ms, {}}, true},
    };
    // The others have wider links, so `self` does not watch.
    const auto self = make_instance("i-0", "a");
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", self, departure_bound}, decode, known,
                   [](const change&, effect, store::revision) {});
        auto now = start_time;
        CHECK(f.start(now).size() == 1);
        const auto polled = f.on_list_reply(two_watchers(), now);
        REQUIRE(polled.size() == 1);
        const auto* a = std::get_if<follower::poll>(&polled.front());
        REQUIRE(a != nullptr);
        CHECK(a->request.known_revision.value == 31);
        // It does not act as a relay itself meanwhile.
        CHECK(f.make_relay_response({{31}, 0ms}, true, now).status ==
              relay_status::not_watching);
        const auto first = a->endpoint;
        auto then = f.on_relay_response(r.answer, now);
        REQUIRE(then.size() == 1);
        const auto* again = std::get_if<follower::poll>(&then.front());
        REQUIRE(again != nullptr);
        CHECK((again->endpoint == first) == r.is_usable);
        if (r.is_usable) {
            CHECK(again->request.known_revision.value == 40);
            continue;
        }
        // The second relay is of no use either.
        then = f.on_relay_response(r.answer, now);
        REQUIRE(then.size() == 1);
        const auto* w = std::get_if<follower::watch>(&then.front());
        REQUIRE(w != nullptr);
        CHECK(w->request.from.value == 32);
        CHECK(f.on_watch_report(store::watch_changed{}, now + 1s).empty());
        CHECK(f.on_watch_report(store::watch_changed{}, now + 5s).size() == 1);
    }
}

TEST_CASE("the watch leaves time to act on a departure within its bound") {
    struct row {
        const char* name;
        instance self;
        std::chrono::milliseconds interval;
    };
    const row rows[] = {
        {"serves this instance only", make_instance("i-1", "b"), 1750ms},
        {"serves other instances too", make_instance("i-1", "a"), 1125ms},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", r.self, departure_bound}, decode, known,
                   [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        const auto then = f.on_list_reply(
            store::found_all{{{"i/i-1", "", {1}, {}}, {"i/i-2", "", {2}, {}}},
                             {31}},
            start_time);
        REQUIRE(then.size() == 1);
        const auto* w = std::get_if<follower::watch>(&then.front());
        REQUIRE(w != nullptr);
        CHECK(w->request.min_interval == r.interval);
        // It reports even when nothing changes.
        CHECK(w->request.max_report_interval == r.interval);
    }
}

// A watcher listed the store again in pages while the store changed, and
// relayed a change from a late page. The polling instances then assumed that
// they knew all changes before it, and one instance stayed missing from their
// lookups (soak: 60 instances, 90 targets, seed 201).
TEST_CASE("a watcher relays only changes before which it missed none") {
    fleet_state known({}, {});
    follower f({"", make_instance("i-1", "a"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    const auto listed = [](std::int64_t at, std::vector<store::entry> entries) {
        return store::found_all{std::move(entries), {at}};
    };
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(listed(31, {{"t/a", "", {30}, {}}}), start_time)
              .size() == 1);
    CHECK(f.on_watch_report(store::watch_compacted{}, start_time).size() == 1);
    CHECK(f.on_list_reply(
               listed(40, {{"t/a", "", {30}, {}}, {"t/b", "", {45}, {}}}),
               start_time)
              .size() == 1);
    const auto first = f.make_relay_response({{31}, 0ms}, true, start_time);
    CHECK(first.status == relay_status::current);
    CHECK(first.seen_revision.value == 40);
    CHECK(first.changes.empty());
    CHECK(f.on_watch_report(
               store::watch_changed{{written("t/c", 43), written("t/b", 45)}},
               start_time)
              .empty());
    const auto second =
        f.make_relay_response({first.seen_revision, 0ms}, true, start_time);
    CHECK(second.seen_revision.value == 45);
    CHECK(revisions(second.changes) == std::vector<std::int64_t>{43, 45});
}

// An entry expired and was written again in a part of the history that was
// compacted. The watcher saw no difference, but a polling instance had seen the
// removal (same soak run as above).
TEST_CASE("an entry rewritten in compacted history is relayed if unchanged") {
    fleet_state known({}, {});
    follower f({"", make_instance("i-1", "b"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(store::found_all{{{"i/i-2", "", {30}, {}}}, {31}},
                          start_time)
              .size() == 1);
    CHECK(f.on_watch_report(store::watch_compacted{}, start_time).size() == 1);
    CHECK(f.on_list_reply(store::found_all{{{"i/i-2", "", {50}, {}}}, {55}},
                          start_time)
              .size() == 1);
    CHECK(revisions(
              f.make_relay_response({{45}, 0ms}, true, start_time).changes) ==
          std::vector<std::int64_t>{50});
}

// After an outage relays answered nobody for as long as entries may be missing,
// and every instance watched the store itself.
TEST_CASE("a relay tells for how long entries may be missing") {
    const std::vector<store::entry> targets = {{"t/a", "", {30}, {}},
                                               {"t/b", "", {30}, {}}};
    fleet_state relayed({}, {});
    follower relay({"", make_instance("i-2", "b"), departure_bound}, decode,
                   relayed, [](const change&, effect, store::revision) {});
    CHECK(relay.start(start_time).size() == 1);
    CHECK(relay.on_list_reply(store::found_all{targets, {31}}, start_time)
              .size() == 1);
    relayed.on_contact_lost();
    auto now = start_time + 5s;
    CHECK(relay.make_relay_response({{31}, 0ms}, true, now).status ==
          relay_status::store_lost);
    CHECK(relay.on_watch_report(store::watch_changed{{removed("t/a", 40)}}, now)
              .empty());
    now += 500ms;
    const auto response = relay.make_relay_response({{31}, 0ms}, true, now);
    CHECK(response.status == relay_status::current);
    CHECK(response.restoring_for.targets == 1500ms);
    CHECK(response.restoring_for.instances == 1500ms);
    CHECK(revisions(response.changes) == std::vector<std::int64_t>{40});

    // It took the relay's silence for no outage of the store.
    fleet_state known({}, {});
    follower f({"", make_instance("i-0", "a"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(two_watchers(targets), start_time).size() == 1);
    CHECK(f.on_relay_response(response, now).size() == 1);
    CHECK(known.target_count() == 2);
    CHECK(known.remove_expired(now)); // all instances are known now
    CHECK_FALSE(known.remove_expired(now + 1499ms));
    CHECK(known.target_count() == 2);
    CHECK(known.remove_expired(now + 1500ms));
    CHECK(known.target_count() == 1);
}

// A watcher that had been turned away by the store told the instances that
// polled it that its old state was current (DRAIN).
TEST_CASE("a watcher relays nothing until it has caught up with the store") {
    struct row {
        const char* name;
        bool regained_by_call; // otherwise by the next try of the watch
    };
    const row rows[] = {
        {"the watch is tried again", false},
        {"another call succeeds first", true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", make_instance("i-1", "a"), departure_bound}, decode,
                   known, [](const change&, effect, store::revision) {});
        const auto status = [&](base::time_point now) {
            return f.make_relay_response({{31}, 0ms}, true, now).status;
        };
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(store::found_all{{{"t/a", "", {30}, {}}}, {31}},
                              start_time)
                  .size() == 1);
        CHECK(status(start_time) == relay_status::current);
        auto now = start_time + 100ms;
        // A watch that worked is opened again at once.
        const auto again = f.on_watch_report(store::watch_closed{}, now);
        REQUIRE(again.size() == 1);
        CHECK(std::holds_alternative<follower::watch>(again[0]));
        CHECK(status(now) != relay_status::current);
        CHECK(f.on_watch_report(store::watch_closed{}, now).empty());
        CHECK(status(now) != relay_status::current);
        now += 9s;
        const auto next =
            r.regained_by_call ? f.on_store_regained(now) : f.tick(now);
        REQUIRE(next.size() == 1);
        CHECK(std::holds_alternative<follower::watch>(next[0]));
        // Past the time for which entries are kept after an outage.
        now += 3s;
        CHECK(status(now) != relay_status::current);
        CHECK(f.on_watch_report(
                   store::watch_changed{{written("t/b", 40)}, true}, now)
                  .empty());
        CHECK(status(now) != relay_status::current);
        CHECK(f.on_watch_report(store::watch_changed{{removed("t/a", 50)}}, now)
                  .empty());
        now += 3s;
        const auto response = f.make_relay_response({{31}, 0ms}, true, now);
        CHECK(response.status == relay_status::current);
        CHECK(revisions(response.changes) == std::vector<std::int64_t>{40, 50});
        CHECK(response.age == 3s);
    }
}

// The first page of many changes made a watcher refuse all polls for a few
// milliseconds, and a region of instances turned to the store.
TEST_CASE("a part of many changes is relayed with the age of what is known") {
    fleet_state known({}, {});
    follower f({"", make_instance("i-1", "a"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(store::found_all{{{"t/a", "", {30}, {}}}, {31}},
                          start_time)
              .size() == 1);
    const auto now = start_time + 700ms;
    CHECK(
        f.on_watch_report(store::watch_changed{{written("t/b", 40)}, true}, now)
            .empty());
    const auto part = f.make_relay_response({{31}, 0ms}, true, now);
    CHECK(part.status == relay_status::current);
    CHECK(part.age == 700ms);
    CHECK(revisions(part.changes) == std::vector<std::int64_t>{40});
    CHECK(f.on_watch_report(store::watch_changed{{written("t/c", 41)}}, now)
              .empty());
    const auto rest = f.make_relay_response({{40}, 0ms}, true, now);
    CHECK(rest.age == 0ms);
    CHECK(revisions(rest.changes) == std::vector<std::int64_t>{41});
}

// While a fleet is upgraded, its watchers may be older than the instances that
// poll them.
TEST_CASE("a watcher relays entries that it cannot decode itself") {
    fleet_state known({}, {});
    const auto decode_old = [](const store::key_change& c) -> change {
        if (c.value && c.value->value == "new kind") {
            return unreadable{c.key, "unknown kind", {}};
        }
        return decode(c);
    };
    follower f({"", make_instance("i-1", "a"), departure_bound}, decode_old,
               known, [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(store::found_all{{{"c", "", {30}, {}}}, {31}},
                          start_time)
              .size() == 1);
    CHECK(f.on_watch_report(
               store::watch_changed{{written("c", 40, "new kind")}}, start_time)
              .empty());
    const auto response = f.make_relay_response({{31}, 0ms}, true, start_time);
    CHECK(revisions(response.changes) == std::vector<std::int64_t>{40});
    CHECK(known.build_view()->routes->source().version.value() == 30);
}

TEST_CASE("a referenced value is read until it is at least as new") {
    struct row {
        const char* name;
        std::optional<store::key_change> fetched;
        store::reply reply;
        bool is_known;
    };
    const store::entry old_value{"c", "", {30}, {}};
    const store::entry new_value{"c", "", {35}, {}};
    const row rows[] = {
        {"no reply", std::nullopt, store::unanswered{}, false},
        {"an older value", written("c", 30), store::found{old_value, {36}},
         false},
        {"another key", written("d", 36), store::unreachable{}, false},
        {"the value", std::nullopt, store::found{new_value, {36}}, true},
        {"removed since", std::nullopt, store::found{std::nullopt, {36}}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", make_instance("i-0", "a"), departure_bound}, decode,
                   known, [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(two_watchers({{"c", "", {30}, {}}}), start_time)
                  .size() == 1);
        const auto then = f.on_relay_response(
            relay_response{relay_status::current, {40}, 0ms, {}, {{"c", {35}}}},
            start_time);
        REQUIRE(then.size() == 2);
        CHECK(std::holds_alternative<follower::poll>(then[0]));
        REQUIRE(std::holds_alternative<follower::fetch>(then[1]));
        // The fetch is of no use; neither is that from the second relay.
        const auto second = f.on_fetch_response("c", r.fetched, start_time);
        REQUIRE(second.size() == 1);
        REQUIRE(std::holds_alternative<follower::fetch>(second[0]));
        CHECK(std::get<follower::fetch>(second[0]).endpoint !=
              std::get<follower::fetch>(then[1]).endpoint);
        const auto read = f.on_fetch_response("c", r.fetched, start_time);
        REQUIRE(read.size() == 1);
        CHECK(std::holds_alternative<follower::read>(read[0]));
        CHECK(f.on_read_reply("c", r.reply, start_time).empty());
        const auto retried = f.tick(start_time + 1s);
        REQUIRE(retried.empty() == r.is_known);
        if (!r.is_known) { // from the relay, as the store may be out of reach
            CHECK(std::holds_alternative<follower::fetch>(retried.front()));
        }
        const auto version =
            known.build_view()->routes->source().version.value();
        CHECK(version ==
              (r.is_known && std::get<store::found>(r.reply).value ? 35 : 30));
    }
}

// A relay that had not read a large value yet said that it was not watching:
// its followers left it, and turned to the store.
TEST_CASE("a relay that is yet to read a value tells of all other changes") {
    struct row {
        const char* name;
        bool accepts_references;
        std::int64_t known;
        relay_status status;
        std::size_t references;
    };
    const row rows[] = {
        {"a follower that misses the value", true, 31, relay_status::current,
         1},
        {"a follower that knows of it", true, 35, relay_status::current, 0},
        {"a follower without references", false, 31, relay_status::not_watching,
         0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", make_instance("i-0", "a"), departure_bound}, decode,
                   known, [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(two_watchers({{"c", "", {30}, {}}}), start_time)
                  .size() == 1);
        CHECK(f.on_relay_response(relay_response{relay_status::current,
                                                 {40},
                                                 0ms,
                                                 {written("t/a", 40)},
                                                 {{"c", {35}}}},
                                  start_time)
                  .size() == 2);
        // Both relays fail, so that it watches the store.
        CHECK(f.on_relay_response(std::nullopt, start_time).size() == 1);
        CHECK(f.on_relay_response(std::nullopt, start_time).size() == 1);
        const auto told = f.make_relay_response(
            {{r.known}, 0ms, r.accepts_references, r.accepts_references}, true,
            start_time);
        CHECK(told.status == r.status);
        CHECK(told.references.size() == r.references);
        if (r.status == relay_status::current) {
            CHECK(revisions(told.changes) == std::vector<std::int64_t>{40});
            CHECK_FALSE(told.confirmed_after.has_value());
        }
    }
}

TEST_CASE("a follower applies deltas, and fetches what it cannot apply") {
    configuration_text c(1);
    c.add_routes(200);
    const auto first = c.text();
    c.change_route();
    const auto second = c.text();
    c.change_route();
    large_values relay;
    relay.put(written("c", 30, first), true);
    relay.put(written("c", 35, second), true);
    relay.put(written("c", 38, c.text()), true);
    struct row {
        const char* name;
        std::string held;
        std::int64_t from;
        std::size_t fetches;
    };
    const row rows[] = {
        {"from the held value", first, 30, 0},
        {"from another revision", first, 35, 1},
        {"from another text", c.text(), 30, 1},
        {"without a value", "small", 30, 1},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", make_instance("i-0", "a"), departure_bound}, decode,
                   known, [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(
            f.on_list_reply(two_watchers({{"c", r.held, {30}, {}}}), start_time)
                .size() == 1);
        relay_response told{relay_status::current, {40}, 0ms, {}};
        told.deltas = {*relay.delta("c", {r.from})};
        const auto then = f.on_relay_response(told, start_time);
        REQUIRE(then.size() == 1 + r.fetches);
        const auto version = [&] {
            return known.build_view()->routes->source().version.value();
        };
        CHECK(version() == (r.fetches == 0 ? 38 : 30));
        const auto& next = std::get<follower::poll>(then.front()).request;
        REQUIRE(next.held.size() == (r.held == "small" ? 0 : 1));
        if (!next.held.empty()) {
            CHECK(next.held[0].at.value ==
                  static_cast<std::int64_t>(version()));
        }
        if (r.fetches > 0) {
            CHECK(std::get<follower::fetch>(then[1]).request.accepts_delta);
            CHECK(f.on_fetch_response("c", *relay.delta("c", {}), start_time)
                      .empty());
            CHECK(version() == 38);
        }
    }
}

// Each reference to a newer version began another transfer of the whole value
// beside the one under way.
TEST_CASE("one transfer of a value is under way at a time") {
    fleet_state known({}, {});
    follower f({"", make_instance("i-0", "a"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(two_watchers({{"c", "", {30}, {}}}), start_time)
              .size() == 1);
    const auto refer = [&](std::int64_t at) {
        return f.on_relay_response(
            relay_response{relay_status::current, {at}, 0ms, {}, {{"c", {at}}}},
            start_time);
    };
    const auto version = [&] {
        return known.build_view()->routes->source().version.value();
    };
    CHECK(refer(35).size() == 2);
    CHECK(refer(37).size() == 1);
    // What was under way is used, and followed by what came since.
    const std::string large(20'000, 'c');
    const auto next =
        f.on_fetch_response("c", written("c", 35, large), start_time);
    REQUIRE(next.size() == 1);
    CHECK(std::get<follower::fetch>(next[0]).request.held.value == 35);
    CHECK(version() == 35);
    CHECK(
        f.on_fetch_response("c", written("c", 39, large), start_time).empty());
    CHECK(version() == 39);
    // It is referenced after it was received.
    CHECK(refer(39).size() == 1);
}

TEST_CASE("a value that the follower holds is not sent again") {
    fleet_state known({}, {});
    follower f({"", make_instance("i-1", "b"), departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(store::found_all{{}, {31}}, start_time).size() == 1);
    const auto large = written("c", 33, std::string(20'000, 'c'));
    CHECK(f.on_watch_report(store::watch_changed{{large}}, start_time).empty());
    struct row {
        std::int64_t held;
        std::size_t sent;
    };
    for (const row r : {row{32, 1}, row{33, 0}}) {
        CAPTURE(r.held);
        const auto told = f.make_relay_response(
            {{31}, 0ms, true, true, {{"c", {r.held}}}}, true, start_time);
        CHECK(told.seen_revision.value == 33);
        CHECK(told.references.size() + told.deltas.size() == r.sent);
        CHECK(told.changes.empty());
    }
}

TEST_CASE("a relay sends large values by reference, within its bandwidth") {
    struct row {
        const char* name;
        double link_mbps;
        bool accepts_references;
        std::size_t references;
        int sent; // of three followers that fetch the value
    };
    const row rows[] = {
        {"the follower accepts no references", 10, false, 0, 0},
        {"a narrow link", 1, true, 1, 0},
        {"a link for one value", 30, true, 1, 1},
        {"a wide link", 1000, true, 1, 3},
        {"an unknown link", 0, true, 1, 3},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto self = make_instance("i-1", "b");
        self.link_mbps = r.link_mbps;
        fleet_state known({}, {});
        follower f({"", self, departure_bound}, decode, known,
                   [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(store::found_all{{}, {31}}, start_time).size() ==
              1);
        const auto large = written("c", 33, std::string(1 << 20, 'c'));
        CHECK(
            f.on_watch_report(store::watch_changed{{written("t/a", 32), large}},
                              start_time)
                .empty());
        const auto a = f.make_relay_response({{31}, 0ms, r.accepts_references},
                                             true, start_time);
        CHECK(a.changes.size() == 2 - r.references);
        CHECK(a.references.size() == r.references);
        int sent = 0;
        for (std::size_t i = 0; i < 3 * r.references; ++i) {
            sent +=
                f.make_fetch_response({"c"}, start_time).has_value() ? 1 : 0;
        }
        CHECK(sent == r.sent);
        CHECK_FALSE(f.make_fetch_response({"x"}, start_time).has_value());
    }
}

// A silent connection was given up only after the interval of the watch and the
// time-out of the call, as late as an outage that ends leases would be noticed.
TEST_CASE("an overdue report of a watcher is asked for once more") {
    auto self = make_instance("i-1", "a");
    self.link_mbps = 100;
    fleet_state known({}, {});
    follower f({"", self, departure_bound}, decode, known,
               [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(f.on_list_reply(two_watchers(), start_time).size() == 1);
    auto now = start_time + 100ms;
    CHECK(f.on_watch_report(store::watch_changed{}, now).empty());
    const auto interval = departure_bound * 45 / 100;
    CHECK(f.tick(now + interval + 400ms).empty());
    now += interval + 500ms;
    const auto again = f.tick(now);
    REQUIRE(again.size() == 1);
    const auto* w = std::get_if<follower::watch>(&again[0]);
    REQUIRE(w != nullptr);
    CHECK(w->request.first_report_within == 0ms);
    CHECK(w->request.max_report_interval == interval);
    // A slow store is not asked a third time.
    CHECK(f.tick(now + 1500ms).empty());
    CHECK(f.on_watch_report(store::watch_changed{}, now + 1600ms).empty());
    CHECK(f.tick(now + 1600ms + interval + 500ms).size() == 1);
}

TEST_CASE("a follower that was suspended catches up through a relay") {
    struct row {
        const char* name;
        std::chrono::milliseconds suspended;
        bool polls;
    };
    const row rows[] = {
        {"too old to wait for a relay", 2400ms, false},
        {"older than its bound in any case", 10s, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state known({}, {});
        follower f({"", make_instance("i-0", "a"), departure_bound}, decode,
                   known, [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(two_watchers(), start_time).size() == 1);
        const auto then =
            f.on_relay_response(std::nullopt, start_time + r.suspended);
        REQUIRE(then.size() == 1);
        CHECK(std::holds_alternative<follower::poll>(then[0]) == r.polls);
    }
}
