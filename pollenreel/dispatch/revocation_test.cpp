// How old the configuration of an instance may be at most, and whether it knows
// that: requests with keys depend on it.
#include "pollenreel/dispatch/key_freshness.hpp"
#include "pollenreel/fleet/simulated_region.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace pollenreel::fleet::testing;
using namespace std::chrono_literals;
using dispatch::is_key_view_fresh;

namespace {

constexpr std::chrono::milliseconds revocation_bound{5000};
constexpr std::chrono::milliseconds change_bound{3000};

// Keys are withdrawn by each new configuration. Counts the moments at which an
// instance would serve a request by a configuration that was replaced a bound
// before.
class revocations {
public:
    revocations(int instances, std::uint64_t seed)
        : region(instances, seed, change_bound, true), random(seed) {
        region.advance(5s);
    }

    void advance(std::chrono::milliseconds by) {
        for (auto passed = 0ms; passed < by; passed += 50ms) {
            if (random.below(20) == 0) {
                region.write("c");
            }
            region.advance(50ms);
            for (std::size_t i = 0; i < region.size(); ++i) {
                check(i);
            }
        }
    }

    // One of many faults of one instance, for some time.
    void disturb_one() {
        const auto i = random.below(region.size());
        switch (random.below(7)) {
        case 0:
            region.cut_off.insert(i);
            break;
        case 1:
            region.silent.insert(i);
            break;
        case 2:
            region.dead.insert(i);
            break;
        case 3:
            region.dead.insert(i);
            region.suspend(i);
            break;
        case 4:
            region.delays[i] = std::chrono::milliseconds(random.below(6000));
            break;
        case 5:
            region.stalled.insert(i);
            break;
        default:
            region.restart(i);
        }
    }

    void heal_all() {
        for (const auto i : region.dead) {
            region.resume(i);
        }
        region.dead.clear();
        region.cut_off.clear();
        region.silent.clear();
        region.stalled.clear();
        region.delays.clear();
        region.loss_rate = 0;
    }

    simulated_region region;
    base::random random;
    bool notices_suspensions = true;
    int served = 0;  // moments at which an instance would serve
    int refused = 0; // moments at which it would not
    int outdated = 0;

private:
    void check(std::size_t i) {
        if (region.dead.contains(i) || !region.knows_configuration(i)) {
            return;
        }
        const auto now = region.boot_now();
        const auto believed = notices_suspensions ? now : region.steady_now(i);
        if (!is_key_view_fresh(region.confirmed_at(i), revocation_bound,
                               believed)) {
            ++refused;
            return;
        }
        ++served;
        const auto due = region.configuration_at(now - revocation_bound);
        outdated += region.configuration_known_by(i) < due ? 1 : 0;
    }
};

// Faults come in series and overlap.
void play_faults(revocations& r) {
    for (int round = 0; round < 12; ++round) {
        const auto victims = 1 + r.random.below(r.region.size());
        for (std::uint64_t v = 0; v < victims; ++v) {
            r.disturb_one();
        }
        r.region.loss_rate = r.random.below(2) == 0 ? 0.35 : 0;
        r.advance(std::chrono::milliseconds(500 + r.random.below(9000)));
        r.heal_all();
        r.advance(std::chrono::milliseconds(r.random.below(4000)));
    }
}

} // namespace

// Guards against instances that go on serving withdrawn keys while they are out
// of contact, or that take old news for new.
TEST_CASE("no instance serves by keys that were withdrawn a bound ago") {
    struct row {
        int instances;
        std::uint64_t seeds;
    };
    for (const auto& r : {row{12, 20}, row{80, 3}}) {
        for (std::uint64_t seed = 1; seed <= r.seeds; ++seed) {
            CAPTURE(r.instances);
            CAPTURE(seed);
            revocations played(r.instances, seed);
            play_faults(played);
            CHECK(played.outdated == 0);
            CHECK(played.served > played.refused / 4);
        }
    }
}

TEST_CASE("the test of withdrawn keys notices what may be wrong") {
    using fault = simulated_region::confirmation_fault;
    struct row {
        const char* name;
        fault kind;
        bool notices_suspensions;
    };
    const row rows[] = {
        {"age counted from the reply", fault::counted_from_reply, true},
        {"age of the relay ignored", fault::relay_age_ignored, true},
        {"suspensions ignored", fault::none, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        int outdated = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            revocations played(12, seed);
            played.region.fault = r.kind;
            played.notices_suspensions = r.notices_suspensions;
            play_faults(played);
            outdated += played.outdated;
        }
        CHECK(outdated > 0);
    }
}

// Guards against refusals in calm: an instance in contact always knows soon
// enough that its keys are the newest.
TEST_CASE("instances in contact serve all keys") {
    for (const int instances : {1, 2, 12, 80}) {
        CAPTURE(instances);
        revocations played(instances, 1);
        played.advance(30s);
        CHECK(played.refused == 0);
        CHECK(played.served > 0);
    }
}

// Guards against refusals at an instance that only the store rejects, while
// others are in contact, with both watchers rejected as well.
TEST_CASE("an instance that the store rejects is kept fresh by the others") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        revocations played(22, seed);
        auto& r = played.region;
        r.cut_off.insert(r.watcher());
        r.cut_off.insert(r.second_watcher());
        for (std::size_t i = 0; i < r.size(); i += 4) {
            r.cut_off.insert(i);
        }
        played.advance(9s);
        CHECK(played.refused == 0);
        CHECK(played.outdated == 0);
        r.cut_off.clear();
        played.advance(10s);
        CHECK(played.refused == 0);
        const int before = r.store_calls;
        played.advance(10s);
        // Only the watchers ask the store again.
        CHECK(r.store_calls - before <= 2 * (10'000 / 1350 + 1));
    }
}

// Guards against a confirmation that misses a value which is still to be read,
// or the newest configuration because it cannot be read.
TEST_CASE("what confirms a configuration") {
    fleet_state state({}, {});
    follower_options o;
    o.self = make_instance("i-1", "a");
    o.departure_bound = change_bound;
    o.confirms_configuration = true;
    follower f(
        o,
        [](const store::key_change& c) -> change {
            if (c.value && c.value->value == "bad") {
                return unreadable{c.key, "", {}, c.key == "c"};
            }
            return decode(c);
        },
        state, [](const change&, effect, store::revision) {});
    const auto at = [](int s) {
        return base::boot_time(std::chrono::seconds(s));
    };
    const auto now = start_time;
    CHECK(f.start(now).size() == 1);
    auto watcher = [](const char* id) {
        return store::entry{std::string("i/") + id, "100", {30}, {}};
    };
    CHECK(f.on_list_reply(
               store::found_all{
                   {{"c", "", {20}, {}}, watcher("i-7"), watcher("i-8")},
                   {31},
                   at(10)},
               now)
              .size() == 1);
    CHECK(state.configuration_confirmed_at() == at(10));

    const auto respond = [&](int asked,
                             std::optional<std::chrono::milliseconds> after,
                             std::vector<store::key_change> changes,
                             std::vector<key_reference> references) {
        relay_response r{relay_status::current,
                         {99},
                         0ms,
                         std::move(changes),
                         std::move(references)};
        r.asked_at = at(asked);
        r.confirmed_after = after;
        CHECK(f.on_relay_response(r, now).size() >= 1);
    };
    respond(12, std::nullopt, {}, {});
    CHECK(state.configuration_confirmed_at() == at(10)); // stated by nobody
    respond(13, -2000ms, {}, {});
    CHECK(state.configuration_confirmed_at() == at(11));
    respond(14, 1000ms, {}, {}); // the relay held the poll
    CHECK(state.configuration_confirmed_at() == at(15));
    respond(13, 0ms, {}, {}); // never goes back
    CHECK(state.configuration_confirmed_at() == at(15));

    respond(20, 0ms, {}, {{"c", {50}}});
    CHECK(state.configuration_confirmed_at() == at(15)); // not read yet
    CHECK(state.build_view()->is_configuration_outdated);
    respond(22, 0ms, {}, {});
    CHECK(state.configuration_confirmed_at() == at(15));
    CHECK(f.on_fetch_response("c", written("c", 40), now).size() == 1);
    CHECK(state.configuration_confirmed_at() == at(15)); // an older value
    CHECK(f.on_fetch_response("c", written("c", 50), now).empty());
    CHECK_FALSE(state.build_view()->is_configuration_outdated);
    CHECK(state.configuration_confirmed_at() == at(22));

    respond(30, 0ms, {written("c", 100, "bad")}, {});
    CHECK(state.configuration_confirmed_at() == at(22)); // unreadable
    CHECK(state.build_view()->is_configuration_outdated);
    respond(31, 0ms, {written("c", 101)}, {});
    CHECK(state.configuration_confirmed_at() == at(31));
}

// Earlier deployments exchange the same bytes as before.
TEST_CASE("relays state no confirmation unless it is asked for") {
    for (const bool confirms : {false, true}) {
        fleet_state state({}, {});
        follower_options o;
        o.self = make_instance("i-1", "a");
        o.departure_bound = change_bound;
        o.confirms_configuration = confirms;
        follower f(o, decode, state,
                   [](const change&, effect, store::revision) {});
        CHECK(f.start(start_time).size() == 1);
        CHECK(f.on_list_reply(store::found_all{{{"c", "", {30}, {}}},
                                               {31},
                                               base::boot_time(10s)},
                              start_time)
                  .size() == 1);
        relay_request poll{{31}, 0ms};
        poll.received_at = base::boot_time(12s);
        const auto r = f.make_relay_response(poll, true, start_time);
        CHECK(r.status == relay_status::current);
        CHECK(r.confirmed_after.has_value() == confirms);
        if (confirms) {
            CHECK(*r.confirmed_after == -2000ms);
        }
        // The setting may be reloaded.
        f.set_confirms_configuration(!confirms);
        CHECK(f.make_relay_response(poll, true, start_time)
                  .confirmed_after.has_value() == !confirms);
    }
}

// The clocks of two machines have different origins: a time of a relay that
// never confirmed anything would be taken for a late one by another machine.
TEST_CASE("a relay that has confirmed nothing states nothing") {
    fleet_state state({}, {});
    follower_options o;
    o.self = make_instance("i-1", "a");
    o.departure_bound = change_bound;
    o.confirms_configuration = true;
    follower f(
        o,
        [](const store::key_change& c) -> change {
            return c.key == "c" ? unreadable{c.key, "", {}, true} : decode(c);
        },
        state, [](const change&, effect, store::revision) {});
    CHECK(f.start(start_time).size() == 1);
    CHECK(
        f.on_list_reply(
             store::found_all{{{"c", "", {30}, {}}}, {31}, base::boot_time(1s)},
             start_time)
            .size() == 1);
    relay_request poll{{31}, 0ms};
    poll.received_at = base::boot_time(2s); // soon after the machine's start
    const auto r = f.make_relay_response(poll, true, start_time);
    CHECK(r.status == relay_status::current);
    CHECK_FALSE(r.confirmed_after.has_value());
}
