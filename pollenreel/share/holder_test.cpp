#include "pollenreel/share/holder.hpp"

#include "pollenreel/share/terms.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using share::ppm;

constexpr base::time_point start{1h};
const base::region_id khomas("khomas");
const auto to_erongo = share::region_pair(khomas, base::region_id("erongo"));

share::holder make_holder(const char* id) {
    return {khomas, "k", {base::instance_id(id), 1}, share::whole};
}

// A store with one key, and a driver that runs holders against it.
struct fake_store {
    std::optional<store::entry> stored;
    std::int64_t revision = 0;

    store::reply apply(const store::request& r) {
        const auto* w = std::get_if<store::compare_and_swap>(&r);
        if (w == nullptr) {
            return store::found{stored};
        }
        const auto at = stored ? stored->modified : store::revision{};
        if (w->expected != at) {
            return store::conflicting{stored};
        }
        stored = store::entry{w->key, w->value, {++revision}};
        return store::swapped{{revision}};
    }

    // Runs `h` until `until`, one tick every 100 ms.
    void run(share::holder& h, base::time_point from, base::time_point until) {
        for (auto now = from; now <= until; now += 100ms) {
            if (const auto call = h.tick(now, true)) {
                h.on_reply(apply(*call), now);
            }
        }
    }
};

share::request make_request(std::uint64_t sequence, ppm held, ppm demand) {
    return {{base::instance_id("x"), 1}, {}, khomas, sequence, 0,
            {{to_erongo, held, demand}}};
}

} // namespace

TEST_CASE("a lease ends relative to the time of its request") {
    fake_store store;
    auto h = make_holder("a");
    auto call = h.tick(start, true);
    h.on_reply(store.apply(*call), start + 1s);
    call = h.tick(start + 1s, true);
    REQUIRE(std::holds_alternative<store::compare_and_swap>(*call));
    h.on_reply(store.apply(*call), start + 5s);
    CHECK(h.holds_lease(start + 1s + share::lease_term - 1ms));
    CHECK(!h.holds_lease(start + 1s + share::lease_term));
    CHECK(!h.on_request(make_request(1, {}, {500}),
                        start + 1s + share::lease_term));
}

TEST_CASE("a challenger waits until the lease has certainly ended") {
    fake_store store;
    auto a = make_holder("a");
    auto b = make_holder("b");
    store.run(a, start, start + 4s);
    REQUIRE(a.holds_lease(start + 4s));
    store.run(b, start + 4s, start + 4s + share::lease_term);
    CHECK(!b.holds_lease(start + 4s + share::lease_term));
    store.run(b, start + 15s, start + 25s);
    CHECK(b.holds_lease(start + 25s));
    CHECK(b.epoch() == a.epoch() + 1);
    CHECK(!a.holds_lease(start + 25s));
    store.run(a, start + 25s, start + 26s);
    CHECK(a.known_holder()->instance == base::instance_id("b"));
}

TEST_CASE("a released lease is taken over at once with its promises") {
    fake_store store;
    auto a = make_holder("a");
    store.run(a, start, start + 1s);
    CHECK(
        a.on_request(make_request(1, {}, {400}), start + 1s)->items[0].share ==
        ppm{});
    store.run(a, start + 1s, start + 3s);
    CHECK(
        a.on_request(make_request(2, {}, {400}), start + 3s)->items[0].share ==
        ppm{400});
    a.release();
    CHECK(!a.holds_lease(start + 3s));
    store.run(a, start + 3s, start + 4s);
    auto b = make_holder("b");
    store.run(b, start + 4s, start + 8s);
    REQUIRE(b.holds_lease(start + 8s));
    share::request other{{base::instance_id("y"), 1},    {}, khomas, 1, 0,
                         {{to_erongo, {}, share::whole}}};
    (void)b.on_request(other, start + 8s);
    store.run(b, start + 8s, start + 9s);
    other.sequence = 2;
    CHECK(b.on_request(other, start + 9s)->items[0].share <=
          share::whole - ppm{400});
}

TEST_CASE("a holder keeps its lease when the reply to a write is lost") {
    struct row {
        const char* name;
        bool applied;
    };
    const row rows[] = {{"write applied", true}, {"write lost too", false}};
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        fake_store store;
        auto h = make_holder("a");
        store.run(h, start, start + 4s);
        REQUIRE(h.holds_lease(start + 4s));
        std::optional<store::request> call;
        auto now = start + 4s;
        while (!call) {
            now += 100ms;
            call = h.tick(now, true);
        }
        if (r.applied) {
            (void)store.apply(*call);
        }
        h.on_reply(store::unanswered{}, now + 1s);
        call = h.tick(now + 1s, true);
        CHECK(std::holds_alternative<store::read>(*call));
        h.on_reply(store.apply(*call), now + 1s);
        store.run(h, now + 2s, now + 30s);
        CHECK(h.holds_lease(now + 30s));
        CHECK(h.epoch() == 1);
    }
}

TEST_CASE("shift progress is reported only after it is stored") {
    fake_store store;
    auto a = make_holder("a");
    store.run(a, start, start + 1s);
    const base::shift_id shift("s1");
    a.set_progress({{shift, ppm{7}}});
    CHECK(a.progress().empty());
    store.run(a, start + 1s, start + 3s);
    CHECK(a.progress().at(shift) == ppm{7});
    auto b = make_holder("b");
    store.run(b, start + 3s, start + 20s);
    CHECK(b.progress().at(shift) == ppm{7});
}
