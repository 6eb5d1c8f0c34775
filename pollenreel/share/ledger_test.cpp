#include "pollenreel/share/ledger.hpp"

#include "pollenreel/share/terms.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using share::ppm;

constexpr base::time_point start{1h};
constexpr auto after_expiry = share::share_term + 10s;

share::incarnation_id claimant_named(const char* id) {
    return {base::instance_id(id), 1};
}

} // namespace

TEST_CASE("one instance's asks") {
    struct row {
        const char* name;
        const char* claimant;
        share::ledger::claim claim;
        base::duration at;
        std::optional<ppm> granted;
        ppm outstanding;
    };
    const row rows[] = {
        {"the only one gets what it wants",
         "a",
         {1, {0}, {800}},
         0s,
         ppm{800},
         {800}},
        {"the next gets what is free",
         "b",
         {1, {0}, {800}},
         1s,
         ppm{200},
         {1000}},
        {"a doubled ask is answered alike",
         "b",
         {1, {0}, {800}},
         2s,
         ppm{200},
         {1000}},
        {"the first is lowered, but counted in full",
         "a",
         {2, {800}, {800}},
         3s,
         ppm{500},
         {1000}},
        {"nothing is free until it says so",
         "b",
         {2, {200}, {800}},
         4s,
         ppm{200},
         {1000}},
        {"the first has lowered itself",
         "a",
         {3, {500}, {800}},
         5s,
         ppm{500},
         {700}},
        {"a late ask changes nothing",
         "a",
         {2, {800}, {800}},
         6s,
         std::nullopt,
         {700}},
        {"now it is free", "b", {3, {200}, {800}}, 7s, ppm{500}, {1000}},
        {"a silent one's share ends",
         "b",
         {4, {0}, {1000}},
         after_expiry + 5s,
         ppm{1000},
         {1000}},
    };
    share::ledger l(ppm{1000});
    l.set_limit(ppm{1000});
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        CHECK(l.on_request(claimant_named(r.claimant), r.claim, start + r.at) ==
              r.granted);
        CHECK(l.outstanding(start + r.at) == r.outstanding);
    }
}

TEST_CASE("what an earlier epoch granted") {
    struct row {
        const char* name;
        share::ledger::claim claim;
        base::duration at;
        ppm granted;
        ppm outstanding;
    };
    // The predecessor left a with 100 and others with 850.
    const row rows[] = {
        {"a late ask claims more than is held",
         {1, {300}, {900}, true},
         0s,
         {350},
         {1000}},
        {"the true claim corrects it",
         {2, {100}, {900}, true},
         1s,
         {150},
         {1000}},
        {"a claim of this epoch leaves it",
         {3, {150}, {900}, false},
         2s,
         {150},
         {1000}},
        {"unclaimed parts come free at the end",
         {4, {150}, {900}, false},
         after_expiry,
         {900},
         {900}},
    };
    share::ledger l(ppm{1000}, ppm{950}, start + after_expiry);
    l.set_limit(ppm{1000});
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        CHECK(l.on_request(claimant_named("a"), r.claim, start + r.at) ==
              r.granted);
        CHECK(l.outstanding(start + r.at) == r.outstanding);
    }
}

TEST_CASE("no more is granted than the limit, and the limit wanted is told") {
    share::ledger l(ppm{1000});
    l.set_limit(ppm{300});
    CHECK(l.on_request(claimant_named("a"), {1, {0}, {500}}, start) ==
          ppm{300});
    CHECK(l.desired_limit(start) == ppm{500});
    l.set_limit(ppm{500});
    CHECK(l.on_request(claimant_named("a"), {2, {300}, {500}}, start) ==
          ppm{500});
}
