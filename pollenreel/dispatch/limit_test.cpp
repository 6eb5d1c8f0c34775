// The parts of a target's limit that instances take without communication.
#include "pollenreel/base/random.hpp"
#include "pollenreel/dispatch/limit_share.hpp"
#include "pollenreel/dispatch/rate_limiter.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::hours(1)};

std::vector<fleet::instance>
make_instances(std::size_t count, std::size_t regions, std::size_t first = 0) {
    std::vector<fleet::instance> all;
    for (std::size_t i = first; i < first + count; ++i) {
        fleet::instance one;
        one.id = base::instance_id("i-" + std::to_string(i));
        one.region = base::region_id("r-" + std::to_string(i % regions));
        all.push_back(one);
    }
    return all;
}

struct fleet_options {
    double limit = 0;
    std::size_t live = 0;
    std::size_t known = 0; // each knows these many, from the first on
    std::size_t regions = 1;
    bool bursts = false; // all demand comes at the same moments
};

// The most requests that a target gets in any window of 4 s, and the mean rate,
// if every instance sends whenever it may.
struct outcome {
    std::size_t most = 0;
    double per_second = 0;
};
outcome simulate(const fleet_options& o, std::uint64_t seed) {
    constexpr std::chrono::seconds length{60};
    constexpr std::chrono::seconds window{4};
    const auto live = make_instances(o.live, o.regions);
    const auto known = make_instances(o.known, o.regions);
    const target_limit limit{o.limit, base::target_id("t"),
                             base::region_id("r-0"), 1.0};
    base::random random(seed);
    std::vector<rate_limiter> limiters(live.size());
    for (std::size_t i = 0; i < live.size(); ++i) {
        limiters[i].set(share_limit(limit, live[i], known), random.unit(),
                        start);
    }
    std::deque<base::time_point> sent;
    outcome result;
    std::size_t total = 0;
    for (auto now = start; now < start + length; now += 20ms) {
        const bool is_quiet =
            o.bursts &&
            (now - start) % std::chrono::seconds(10) > std::chrono::seconds(1);
        for (auto& l : limiters) {
            if (!is_quiet && l.allows(now)) {
                l.on_sent(now);
                sent.push_back(now);
                ++total;
            }
        }
        while (!sent.empty() && now - sent.front() >= window) {
            sent.pop_front();
        }
        result.most = std::max(result.most, sent.size());
    }
    result.per_second = static_cast<double>(total) / length.count();
    return result;
}

} // namespace

TEST_CASE("all instances together keep a target's limit") {
    struct row {
        const char* name;
        fleet_options fleet;
    };
    const row rows[] = {
        {"one instance", {4.7, 1, 1}},
        {"a few", {4.7, 8, 8, 3}},
        {"many", {4.7, 89, 89, 3}},
        {"the size to come", {4.7, 1300, 1300, 29}},
        {"demand comes in bursts", {4.7, 89, 89, 3, true}},
        {"a wide limit", {60, 12, 12, 3}},
        {"hardly anything", {0.1, 61, 61, 3}},
        {"nothing at all", {0, 61, 61, 3}},
        {"half of them just failed", {4.7, 8, 16, 3}},
        {"a tenth of them just joined", {4.7, 66, 60, 3}},
    };
    for (const auto& r : rows) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(r.name);
            CAPTURE(seed);
            const auto seen = simulate(r.fleet, seed);
            // The users' rule: in 4 s no more than half beyond the limit and
            // five requests.
            CHECK(static_cast<double>(seen.most) <=
                  r.fleet.limit * 4 * 1.5 + 5);
            if (!r.fleet.bursts && r.fleet.known == r.fleet.live) {
                CHECK(seen.per_second >= r.fleet.limit * 0.8);
            }
        }
    }
}

TEST_CASE("instances in the target's region get their part of the places") {
    struct row {
        const char* name;
        double home_fraction;
        std::size_t home_senders;
        std::size_t abroad_senders;
    };
    // A limit of 9.5 has 12 places.
    const row rows[] = {
        {"only their own", 1.0, 12, 0},
        {"three quarters", 0.75, 9, 3},
        {"hardly any", 0.01, 1, 11},
    };
    const auto all = make_instances(60, 3);
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::size_t home = 0;
        std::size_t abroad = 0;
        for (const auto& self : all) {
            const auto share =
                share_limit({9.5, base::target_id("t"), base::region_id("r-0"),
                             r.home_fraction},
                            self, all);
            if (!share.probes()) {
                ++(self.region.str() == "r-0" ? home : abroad);
            }
        }
        CHECK(home == r.home_senders);
        CHECK(abroad == r.abroad_senders);
    }
}

TEST_CASE("the expected home fraction follows from the slots") {
    CHECK(home_fraction(10, 100, 3) == 1); // too few slots for its own
    CHECK(home_fraction(50, 100, 3) == doctest::Approx(0.667).epsilon(0.01));
    CHECK(home_fraction(100, 100, 1) == 1);
    CHECK(home_fraction(0, 100, 3) == 1);
}

TEST_CASE("a limiter keeps what it counted when its share changes") {
    rate_limiter l;
    CHECK(l.allows(start)); // no limit yet
    l.set({1, 1, {}}, 1.0, start);
    CHECK(l.allows(start));
    l.on_sent(start);
    l.set({2, 1, {}}, 1.0, start);
    CHECK_FALSE(l.allows(start));
    CHECK(l.next_at(start) == start + 500ms);
    CHECK(l.allows(start + 500ms));
}

TEST_CASE("a limiter that probes allows one request in each period") {
    rate_limiter l;
    l.set({0, 0, 10s}, 0.0, start);
    int sent = 0;
    for (auto now = start; now < start + 40s; now += 50ms) {
        if (l.allows(now)) {
            l.on_sent(now);
            ++sent;
        } else {
            CHECK(l.next_at(now) > now);
            CHECK(l.next_at(now) <= now + 10s);
        }
    }
    CHECK(sent == 4);
}
