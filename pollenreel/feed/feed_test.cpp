// Whole fleets of feeds under faults, in virtual time, by seeds.
#include "pollenreel/feed/feed.hpp"
#include "testing/feed_network.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::feed_network;
using testing::feed_network_options;

constexpr auto target = 4s; // a change is in force everywhere within
constexpr std::uint64_t seeds = 5;

using act = void (*)(feed_network&);

void nothing(feed_network&) {}

void check_sane(const feed_network& n) {
    CHECK(n.reversions() == 0);
    CHECK(n.wrong_texts() == 0);
}

} // namespace

TEST_CASE("a change is in force within the target under each fault") {
    struct row {
        const char* name;
        feed_network_options options;
        act before; // the change
        act after;
    };
    feed_network_options plain;
    auto lossy = plain;
    lossy.loss = 0.2;
    auto doubled = plain;
    doubled.doubling = 0.5;
    doubled.jitter = 200ms; // so that messages pass each other
    auto both = lossy;
    both.doubling = 0.3;
    both.jitter = 300ms;
    const act cut_one = [](feed_network& n) { n.cut_from_store.insert(1); };
    const act kill_watchers = [](feed_network& n) {
        for (std::size_t i = 0; i < n.size(); ++i) {
            if (n.at(i).watching() && i % 3 == 0) {
                n.kill(i);
            }
        }
    };
    const row rows[] = {
        {"none", plain, nothing, nothing},
        {"messages lost", lossy, nothing, nothing},
        {"messages late, doubled and reordered", doubled, nothing, nothing},
        {"all of them", both, nothing, nothing},
        {"watches cut", plain, [](auto& n) { n.cut_watches(); }, nothing},
        {"watches cut and their start compacted", plain,
         [](auto& n) {
             n.cut_watches();
             n.compact();
         },
         nothing},
        {"watches silent", plain, [](auto& n) { n.silent_watches = true; },
         [](auto& n) { n.silent_watches = false; }},
        {"the store slow", plain, [](auto& n) { n.store_delay = 400ms; },
         nothing},
        {"the store gone just after the change", plain, nothing,
         [](auto& n) {
             n.run_for(10ms);
             n.store_down = true;
         }},
        {"a region cut from the store", plain, cut_one, nothing},
        {"a region cut from the store, messages lost", lossy, cut_one, nothing},
        {"a region's watchers dead", plain, kill_watchers, nothing},
        {"a region's watchers dead, messages lost", lossy, kill_watchers,
         nothing},
        {"instances restarted", plain,
         [](auto& n) {
             for (const auto i : {1U, 5U, 9U}) {
                 n.kill(i);
                 n.restart(i);
             }
         },
         nothing},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            auto options = r.options;
            options.seed = seed;
            feed_network n(options);
            n.run_for(5s);
            REQUIRE(n.all_apply(n.committed()));
            r.before(n);
            const auto v = n.commit();
            r.after(n);
            CHECK(n.run_until_applied(v, target).has_value());
            check_sane(n);
        }
    }
}

TEST_CASE("with the store down a fresh instance learns from its peers") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        feed_network n({.seed = seed, .loss = 0.1});
        n.run_for(5s);
        const auto v = n.commit();
        REQUIRE(n.run_until_applied(v, target).has_value());
        n.store_down = true;
        n.run_for(60s);
        for (int twice = 0; twice < 2; ++twice) {
            for (const auto i : {0U, 4U, 7U, 11U}) {
                n.kill(i);
                n.restart(i);
            }
            CHECK(n.run_until_applied(v, target).has_value());
            n.run_for(5s);
        }
        CHECK(n.at(0).confirmed_ago(n.now()) > 60s); // and it says so
        n.store_down = false;
        n.run_for(20s);
        CHECK(n.at(0).confirmed_ago(n.now()) < 5s);
        check_sane(n);
    }
}

TEST_CASE("a region cut off for an hour keeps what it has, then catches up") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        feed_network n({.per_region = 3, .seed = seed});
        n.run_for(5s);
        for (int twice = 0; twice < 2; ++twice) {
            const auto before = n.committed();
            n.cut_from_store.insert(1);
            n.cut_apart = {{0, 1}, {1, 2}};
            for (int i = 0; i < 30; ++i) {
                n.commit();
                n.run_for(2min);
            }
            for (const auto i : {1U, 4U}) { // both at once: restarts, too
                n.kill(i);
                n.restart(i);
                n.run_for(5s);
            }
            CHECK(n.at(1).applied() == before);
            CHECK(n.at(0).applied() == n.committed());
            const auto wholes = n.wholes_sent();
            n.cut_from_store.clear();
            n.cut_apart.clear();
            CHECK(n.run_until_applied(n.committed(), 10s).has_value());
            // What it missed came as deltas.
            CHECK(n.wholes_sent() == wholes);
            n.run_for(5s);
        }
        check_sane(n);
    }
}

TEST_CASE("each region has its few watchers, whatever the fleet's size") {
    for (const std::size_t per_region : {1U, 2U, 4U, 16U}) {
        CAPTURE(per_region);
        feed_network n({.per_region = per_region});
        n.run_for(5s);
        CHECK(n.watchers() ==
              3 * std::min(per_region, feed::watchers_per_region));
        const auto calls = n.store_calls();
        n.run_for(60s);
        // A check by each watcher and nothing else.
        CHECK(n.store_calls() - calls <= n.watchers() * 31);
    }
}

TEST_CASE("in force is said when all apply, and who is missing until then") {
    feed_network n({.seed = 3});
    n.run_for(5s);
    const auto v = n.commit();
    CHECK(!n.at(0).coverage_of(v).in_force);
    REQUIRE(n.run_until_applied(v, target).has_value());
    n.run_for(5s);
    for (std::size_t i = 0; i < n.size(); ++i) {
        CAPTURE(i);
        CHECK(n.at(i).coverage_of(v).in_force);
    }
    n.kill(5); // silent, not yet known to be out of service
    const auto next = n.commit();
    n.run_for(1s);
    const auto missing = n.at(0).coverage_of(next);
    CHECK(!missing.in_force);
    CHECK(missing.missing ==
          std::vector<base::instance_id>{base::instance_id("i-5")});
    n.run_for(8s); // now it is
    CHECK(n.at(0).coverage_of(next).in_force);
}

TEST_CASE("a wrong delta is never taken in") {
    using feed::push;
    const base::endpoint peer{"10.0.0.2", 7200};
    const auto version = [](std::uint64_t v) {
        declarations::configuration c;
        c.version = base::config_version(v);
        c.command = base::command_id("c");
        c.author = "ops";
        c.summary = "s";
        c.declared.fleet_instances = 1;
        return declarations::encode(c);
    };
    const auto right = [&] {
        return feed::delta{base::config_version(1), base::config_version(2),
                           feed::make_patch(version(1), version(2)),
                           feed::checksum(version(2))};
    };
    struct row {
        const char* name;
        void (*spoil)(feed::delta&);
        std::uint64_t applied;
    };
    const row rows[] = {
        {"right", [](auto&) {}, 2},
        {"another checksum", [](auto& d) { ++d.checksum; }, 1},
        {"another text", [](auto& d) { d.patch[0].literal += ' '; }, 1},
        {"beyond the old text", [](auto& d) { d.patch[0].length = 9999; }, 1},
        {"from another version",
         [](auto& d) { d.from = base::config_version(7); }, 1},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const base::time_point now{1h};
        feed::feed f(
            {base::instance_id("a"), base::region_id("r"), {"10.0.0.1", 7200}},
            {}, "k", 1);
        (void)f.offer(version(1), now);
        auto delta = right();
        r.spoil(delta);
        const auto out =
            f.on_message(push{peer, base::config_version(2), {delta}, {}}, now);
        CHECK(f.applied() == base::config_version(r.applied));
        const bool asks = std::any_of(out.begin(), out.end(), [](auto& e) {
            const auto* s = std::get_if<feed::send>(&e);
            return s != nullptr &&
                   std::holds_alternative<feed::pull>(s->message);
        });
        CHECK(asks == (r.applied == 1)); // for what is right
    }
}
