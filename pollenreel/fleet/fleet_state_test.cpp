#include "pollenreel/fleet/directory.hpp"
#include "pollenreel/fleet/fleet_state.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::fleet;
using namespace std::chrono_literals;

namespace {

const region_map regions = {
    {base::failure_domain_id("khomas-a"), base::region_id("khomas")},
    {base::failure_domain_id("khomas-b"), base::region_id("khomas")},
    {base::failure_domain_id("erongo-a"), base::region_id("erongo")},
};
const base::time_point start_time{std::chrono::hours(1)};

target_report report(const char* id, const char* domain = "khomas-a") {
    target_report r;
    r.id = base::target_id(id);
    r.service = base::service_id("s");
    r.failure_domain = base::failure_domain_id(domain);
    r.slots = 4;
    return r;
}

configuration_written configuration(std::uint64_t version) {
    configuration_written w;
    w.configuration.version = base::config_version(version);
    return w;
}

std::vector<std::string> usable_targets(const fleet_state& b) {
    std::vector<std::string> ids;
    const auto v = b.build_view();
    for (const auto& t : v->targets) {
        ids.push_back(t.id.str());
    }
    return ids;
}

base::time_point cold_until(const fleet_state& b) {
    return b.build_view()->targets.front().cold_until;
}

} // namespace

TEST_CASE("the view contains only targets that accept new requests") {
    fleet_state b(regions, {});
    b.apply(target_written{report("a")}, start_time);
    b.apply(target_written{report("b", "erongo-a")}, start_time);
    CHECK(usable_targets(b) == std::vector<std::string>{"a", "b"});

    auto draining = report("a");
    draining.draining = true;
    CHECK(b.apply(target_written{draining}, start_time) == effect::changed);
    CHECK(usable_targets(b) == std::vector<std::string>{"b"});
    b.apply(evacuation_begun{base::failure_domain_id("erongo-a")}, start_time);
    CHECK(usable_targets(b).empty());
    b.apply(evacuation_ended{base::failure_domain_id("erongo-a")}, start_time);
    CHECK(usable_targets(b) == std::vector<std::string>{"b"});
    // An unreadable entry removes its target.
    b.apply(unreadable{"k", "cut short", base::target_id("b")}, start_time);
    CHECK(usable_targets(b).empty());
}

TEST_CASE("an older configuration is ignored") {
    struct row {
        const char* name;
        std::uint64_t version;
        effect expected;
        std::uint64_t current_version;
    };
    const row rows[] = {
        {"the first", 7, effect::changed, 7},
        {"an older one", 5, effect::stale, 7},
        {"the same", 7, effect::none, 7},
        {"a newer one, with a gap", 12, effect::changed, 12},
    };
    fleet_state b(regions, {});
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(b.apply(configuration(r.version), start_time) == r.expected);
        CHECK(b.build_view()->routes->source().version.value() ==
              r.current_version);
    }
}

TEST_CASE("targets that expired in an outage are kept for the restore time") {
    struct row {
        const char* name;
        base::duration outage; // before the removal
        bool draining;
        bool written_again;
        base::duration later; // after the store's return
        bool present;
    };
    const row rows[] = {
        {"removed while the store is reachable", 0s, false, false, 0s, false},
        {"removed after a short gap", 500ms, false, false, 0s, false},
        {"removed after a silence in which no entry could expire", 2500ms,
         false, false, 0s, false},
        {"removed in an outage, store just back", 5s, false, false, 1s, true},
        {"still missing later", 5s, false, false, 2s, false},
        {"written again", 5s, false, true, 3s, true},
        {"was already draining", 5s, true, false, 0s, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        b.on_contact(start_time);
        auto t = report("a");
        t.draining = r.draining;
        b.apply(target_written{t}, start_time);
        auto now = start_time;
        if (r.outage > 0s) {
            b.on_contact_lost();
            now += r.outage;
            b.on_contact(now);
        }
        b.apply(target_removed{base::target_id("a")}, now);
        if (r.written_again) {
            b.apply(target_written{t}, now + 1s);
        }
        now += r.later;
        b.remove_expired(now);
        CHECK((b.target_count() == 1) == r.present);
    }
}

// After an outage that had ended the leases of all instances, each one took
// itself for the only one until it heard of the others again, and sent to cold
// targets what all together were allowed to (FAILBACK).
TEST_CASE("instances that expired in an outage count for the restore time") {
    struct row {
        const char* name;
        base::duration outage; // before the removal
        bool announced_again;
        base::duration later; // after the store's return
        std::size_t known;    // of the two that there were
    };
    const row rows[] = {
        {"removed while the store is reachable", 0s, false, 0s, 1},
        {"removed after a gap that ends no lease", 1400ms, false, 0s, 1},
        {"removed in an outage, store just back", 4s, false, 1s, 2},
        {"still missing later", 4s, false, 2s, 1},
        {"announced again", 4s, true, 3s, 2},
    };
    instance other;
    other.id = base::instance_id("front-2");
    instance self;
    self.id = base::instance_id("front-1");
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        b.on_contact(start_time);
        b.apply(instance_written{self}, start_time);
        b.apply(instance_written{other}, start_time);
        auto now = start_time + r.outage;
        if (r.outage > 0s) {
            b.on_contact_lost();
        }
        b.on_contact(now);
        const auto gone = b.apply(instance_removed{other.id}, now);
        CHECK(gone == (r.outage > 2s ? effect::deferred : effect::changed));
        if (r.announced_again) {
            // Polling instances must hear of it, as they did of the removal.
            CHECK(b.apply(instance_written{other}, now + 1s) ==
                  effect::changed);
        }
        b.remove_expired(now + r.later);
        CHECK(b.instances().size() == r.known);
    }
}

// An instance that had just started counted only those that were announced
// again by then. One that was cut off from the store right after its first
// listing took the few in it for all, and sent a cold target what all together
// may send (FAILBACK).
TEST_CASE("the instances are known once all had time to be announced") {
    struct row {
        const char* name;
        std::vector<base::duration> contacts; // after the first listing
        base::duration now;
        bool known;
    };
    const row rows[] = {
        {"the time has not passed", {1900ms}, 1900ms, false},
        {"the store was in contact until then", {1s, 2s}, 2s, true},
        {"a relay confirms what was known before then", {1900ms}, 3s, false},
        {"no contact since the listing", {}, 1h, false},
        {"contact returns later", {10s}, 10s, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        b.remove_expired(start_time);
        CHECK_FALSE(b.build_view()->instances_known);
        b.on_contact(start_time);
        b.begin_listing();
        b.end_listing(start_time);
        for (const auto& at : r.contacts) {
            b.on_contact(start_time + at);
        }
        CHECK(b.remove_expired(start_time + r.now) == r.known);
        CHECK(b.build_view()->instances_known == r.known);
        CHECK_FALSE(b.remove_expired(start_time + r.now));
    }
}

// A relay passes on only the last change of a key. An instance that missed an
// evacuation took the targets for warm when it heard of the end alone.
TEST_CASE("targets may be cold after an evacuation that was missed") {
    fleet_state b(regions, {});
    b.apply(target_written{report("a")}, start_time);
    b.apply(target_written{report("b", "erongo-a")}, start_time);
    CHECK(b.apply(evacuation_ended{base::failure_domain_id("khomas-a")},
                  start_time) == effect::changed);
    const auto v = b.build_view();
    CHECK(v->targets.at(0).cold_until == start_time + 3s);
    CHECK(v->targets.at(1).cold_until <= start_time);
    // The target's latest report may be from before the evacuation.
    b.apply(target_written{report("a")}, start_time + 1s);
    CHECK(cold_until(b) == start_time + 3s);
}

// The gap counted from the last report of the watch, although other calls had
// been answered since: a short silence passed for an outage.
TEST_CASE("any reply of the store ends a gap") {
    struct row {
        const char* name;
        std::vector<base::duration> replies; // to calls besides the watch
        bool present;
    };
    const row rows[] = {
        {"none", {}, true},
        {"one before the silence", {1s}, false},
        {"one in an outage that is over", {4s}, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        b.on_contact(start_time);
        b.apply(target_written{report("a")}, start_time);
        for (const auto& at : r.replies) {
            if (at > 2s) {
                b.on_contact_lost();
            }
            b.on_reply(start_time + at);
        }
        b.on_contact_lost();
        const auto now =
            start_time +
            (r.replies.empty() || r.replies[0] < 2s ? 3500ms : 4500ms);
        b.on_contact(now);
        b.apply(target_removed{base::target_id("a")}, now);
        CHECK((b.target_count() == 1) == r.present);
    }
}

// A suspended process heard of the removals of an outage before it noticed the
// gap, and took the instances that were left for all of them.
TEST_CASE("a gap that no failed call revealed counts as an outage") {
    struct row {
        const char* name;
        base::duration suspended;
        bool present;
    };
    const row rows[] = {
        {"a gap that ends no lease", 2600ms, false},
        {"a long one", 10s, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        CHECK_FALSE(b.is_restoring(start_time));
        b.on_contact(start_time); // the first one ends no gap
        CHECK_FALSE(b.is_restoring(start_time));
        instance other;
        other.id = base::instance_id("front-2");
        b.apply(instance_written{other}, start_time);
        const auto now = start_time + r.suspended;
        b.on_contact(now);
        b.apply(instance_removed{other.id}, now);
        CHECK((b.instances().size() == 1) == r.present);
        b.remove_expired(now + 2s);
        CHECK(b.instances().empty());
    }
}

// An instance that was cut off from the store found a departed target missing
// from its first listing and kept it too long: the restore time counts from
// the store's return, not from the listing (fleetbench hunt: ageeb-tickets,
// scale-2 --seed 238572881129).
TEST_CASE("a target missing from a listing after an outage expires in time") {
    fleet_state b(regions, {});
    b.on_contact(start_time);
    b.apply(target_written{report("a")}, start_time);
    b.on_contact_lost();
    const auto returned_at = start_time + 12s;
    b.on_contact(returned_at);
    b.begin_listing();
    b.end_listing(returned_at + 800ms);
    CHECK(b.target_count() == 1);
    b.remove_expired(returned_at + 1900ms);
    CHECK(b.target_count() == 1);
    b.remove_expired(returned_at + 2s);
    CHECK(b.target_count() == 0);
}

TEST_CASE("a new listing removes only what is missing from it") {
    fleet_state b(regions, {});
    b.on_contact(start_time);
    b.apply(configuration(1), start_time);
    CHECK_FALSE(b.is_complete());
    b.begin_listing();
    b.apply(target_written{report("a")}, start_time);
    b.apply(target_written{report("b")}, start_time);
    b.apply(evacuation_begun{base::failure_domain_id("erongo-a")}, start_time);
    b.end_listing(start_time);
    CHECK(b.is_complete());

    b.begin_listing(); // the store compacted its history
    b.apply(target_written{report("b")}, start_time);
    b.end_listing(start_time);
    CHECK(usable_targets(b) == std::vector<std::string>{"b"});
    CHECK(b.build_view()->evacuated_domains.empty());
}

TEST_CASE("a target is cold for the longest time that it may be") {
    struct row {
        const char* name;
        std::chrono::milliseconds reported_cold_for;
        bool evacuated; // until just now
        base::duration cold;
    };
    const row rows[] = {
        {"warm", 0ms, false, 0s},
        {"reported as cold", 2s, false, 2s},
        {"its domain was evacuated, so its report may be stale", 0ms, true, 3s},
        {"reported as cold for longer than the report lag", 5s, true, 5s},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fleet_state b(regions, {});
        const base::failure_domain_id domain("khomas-a");
        if (r.evacuated) {
            b.apply(evacuation_begun{domain}, start_time);
            b.apply(evacuation_ended{domain}, start_time);
        }
        auto t = report("a");
        t.cold_for = r.reported_cold_for;
        b.apply(target_written{t}, start_time);
        CHECK(cold_until(b) == start_time + r.cold);
    }
}

TEST_CASE("callers get the nearest instances") {
    const auto make_instance = [](const char* domain, const char* region,
                                  int port) {
        instance i;
        i.id = base::instance_id(std::to_string(port));
        i.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(port)};
        i.failure_domain = base::failure_domain_id(domain);
        i.region = base::region_id(region);
        return i;
    };
    const std::vector<instance> live = {make_instance("khomas-a", "khomas", 1),
                                        make_instance("khomas-a", "khomas", 2),
                                        make_instance("khomas-b", "khomas", 3),
                                        make_instance("erongo-a", "erongo", 4)};
    struct row {
        const char* name;
        const char* domain;
        const char* region;
        std::size_t max_count;
        std::vector<int> ports;
        std::vector<base::region_id> homes{};
    };
    const row rows[] = {
        {"enough in the domain", "khomas-a", "khomas", 64, {1, 2}},
        {"one in the domain", "khomas-b", "khomas", 64, {1, 2, 3}},
        {"none in the domain", "khomas-c", "khomas", 64, {1, 2, 3}},
        {"one in the region", "erongo-b", "erongo", 64, {4}},
        {"none in the region", "oshana-a", "oshana", 64, {1, 2, 3, 4}},
        {"no more than the maximum", "oshana-a", "oshana", 2, {1, 2}},
        {"none in the region, homes elsewhere",
         "oshana-a",
         "oshana",
         64,
         {4},
         {base::region_id("erongo")}},
        {"an instance of the region goes before the homes",
         "khomas-b",
         "khomas",
         64,
         {1, 2, 3},
         {base::region_id("erongo")}},
        {"none at home",
         "oshana-a",
         "oshana",
         64,
         {1, 2, 3, 4},
         {base::region_id("oshana")}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::vector<int> ports;
        for (const auto& e :
             select_instances(live,
                              {base::region_id(r.region),
                               base::failure_domain_id(r.domain), r.homes},
                              r.max_count)) {
            ports.push_back(e.port);
        }
        CHECK(ports == r.ports);
    }
}
