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

TEST_CASE("requests of two claimants") {
    struct row {
        const char* name;
        const char* claimant;
        share::ledger::claim claim;
        base::duration at;
        std::optional<ppm> granted;
        ppm outstanding;
    };
    const row rows[] = {
        {"a sole claimant gets its demand",
         "a",
         {1, {0}, {800}},
         0s,
         ppm{800},
         {800}},
        {"the second gets the free part",
         "b",
         {1, {0}, {800}},
         1s,
         ppm{200},
         {1000}},
        {"a duplicate request gets the same answer",
         "b",
         {1, {0}, {800}},
         2s,
         ppm{200},
         {1000}},
        {"the first is reduced, but counted in full",
         "a",
         {2, {800}, {800}},
         3s,
         ppm{500},
         {1000}},
        {"nothing is free until it reports the reduction",
         "b",
         {2, {200}, {800}},
         4s,
         ppm{200},
         {1000}},
        {"the first reports the reduced share",
         "a",
         {3, {500}, {800}},
         5s,
         ppm{500},
         {700}},
        {"an outdated request changes nothing",
         "a",
         {2, {800}, {800}},
         6s,
         std::nullopt,
         {700}},
        {"the second gets the freed part",
         "b",
         {3, {200}, {800}},
         7s,
         ppm{500},
         {1000}},
        {"the share of a silent claimant expires",
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

TEST_CASE("shares granted in an earlier epoch") {
    struct row {
        const char* name;
        share::ledger::claim claim;
        base::duration at;
        ppm granted;
        ppm outstanding;
    };
    // The previous holder left "a" with 100 and other claimants with 850.
    const row rows[] = {
        {"an outdated request claims more than is held",
         {1, {300}, {900}, true},
         0s,
         {350},
         {1000}},
        {"the current claim corrects it",
         {2, {100}, {900}, true},
         1s,
         {150},
         {1000}},
        {"a claim of this epoch does not change it",
         {3, {150}, {900}, false},
         2s,
         {150},
         {1000}},
        {"unclaimed shares are freed when they expire",
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

TEST_CASE("grants stay within the limit; the desired limit is reported") {
    share::ledger l(ppm{1000});
    l.set_limit(ppm{300});
    CHECK(l.on_request(claimant_named("a"), {1, {0}, {500}}, start) ==
          ppm{300});
    CHECK(l.desired_limit(start) == ppm{500});
    l.set_limit(ppm{500});
    CHECK(l.on_request(claimant_named("a"), {2, {300}, {500}}, start) ==
          ppm{500});
}
