#include "pollenreel/shift/admission_controller.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;

constexpr base::time_point start{1h};
constexpr auto expiry = start + 10s;
const base::service_id catalogue("catalogue");
const base::region_id khomas("khomas");
const base::region_id erongo("erongo");
constexpr std::uint64_t ample = 100'000'000;

shift::allowances moving(std::uint32_t ppm) {
    shift::allowances a;
    a.moves = {
        {base::shift_id("s"), catalogue, erongo, {ppm}, {ample, 0, expiry}}};
    a.link_rates[erongo] = {ample, 0, expiry};
    return a;
}

shift::candidate request(std::uint64_t id) {
    return {catalogue, base::request_id(id), 400, khomas, true, {erongo}, 0};
}

shift::admission_controller make_controller(shift::allowances a) {
    shift::admission_controller s;
    s.set_allowances(std::make_shared<const shift::allowances>(std::move(a)));
    return s;
}

base::region_id region_of(const shift::decision& d) {
    const auto* g = std::get_if<shift::admission>(&d);
    return g == nullptr ? base::region_id() : g->to;
}

} // namespace

TEST_CASE("decision for a request") {
    struct row {
        const char* name;
        shift::allowances allowances;
        shift::candidate request;
        base::time_point at;
        base::region_id to; // none: refused
    };
    auto no_link = moving(1'000'000);
    no_link.link_rates.clear();
    auto limited = shift::allowances{};
    limited.limits[{catalogue, khomas}] = {0, 0, expiry};
    auto failed = request(1);
    failed.own_available = false;
    auto spilling = moving(0);
    spilling.spill[{catalogue, erongo}] = 1;
    auto closed = request(1);
    closed.others.clear();
    const row rows[] = {
        {"nothing is moved", moving(0), request(1), start, khomas},
        {"everything is moved", moving(1'000'000), request(1), start, erongo},
        {"the share has expired", moving(1'000'000), request(1), expiry,
         khomas},
        {"no link is declared", no_link, request(1), start, khomas},
        {"the destination accepts no work", moving(1'000'000), closed, start,
         khomas},
        {"the limit is reached", limited, request(1), start, {}},
        {"the region failed, within headroom", spilling, failed, start, erongo},
        {"the region failed, no headroom", moving(0), failed, start, {}},
        {"the region failed, the share of the link has expired",
         spilling,
         failed,
         expiry,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(std::string(r.name));
        auto s = make_controller(r.allowances);
        CHECK(region_of(s.decide(r.request, r.at)) == r.to);
    }
}

TEST_CASE("a larger moved fraction includes a smaller one") {
    std::size_t moved = 0;
    for (std::uint64_t id = 1; id <= 10'000; ++id) {
        const bool at_30 = shift::moves(base::request_id(id), {300'000});
        const bool at_60 = shift::moves(base::request_id(id), {600'000});
        moved += at_30 ? 1 : 0;
        REQUIRE((!at_30 || at_60));
    }
    CHECK(moved > 2'800);
    CHECK(moved < 3'200);
}

TEST_CASE("a limit applies to requests within one second") {
    shift::allowances a;
    a.limits[{catalogue, khomas}] = {2, 0, expiry};
    auto s = make_controller(a);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        const auto d = s.decide(request(id), start);
        REQUIRE(std::holds_alternative<shift::admission>(d));
        s.started(base::attempt_id(id), std::get<shift::admission>(d), start);
    }
    CHECK(s.decide(request(3), start + 999ms) ==
          shift::decision(shift::refusal_reason::limit));
    CHECK(region_of(s.decide(request(3), start + 1s)) == khomas);
}

TEST_CASE("spill stops at the headroom and is reported") {
    auto a = moving(0);
    a.spill[{catalogue, erongo}] = 1;
    auto s = make_controller(a);
    auto failed = request(1);
    failed.own_available = false;
    const auto d = s.decide(failed, start);
    s.started(base::attempt_id(1), std::get<shift::admission>(d), start);
    CHECK(s.decide(failed, start) ==
          shift::decision(shift::refusal_reason::headroom));
    s.finished(base::attempt_id(1), 5'000, start + 80ms);
    CHECK(region_of(s.decide(failed, start + 100ms)) == erongo);
    const auto report = s.take_report();
    const auto& there = report.at({catalogue, erongo});
    CHECK(there.started == 1);
    CHECK(there.bytes == 5'400);
    CHECK(there.in_flight == 0);
}
