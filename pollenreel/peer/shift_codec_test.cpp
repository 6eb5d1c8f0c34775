#include "pollenreel/peer/codec.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;

TEST_CASE(
    "messages that share caps or report load decode to what was encoded") {
    const base::region_id khomas("khomas");
    const auto pair = share::region_pair(khomas, base::region_id("erongo"));
    const shift::uses uses{
        {{base::service_id("catalogue"), khomas}, {2.5, 7, 1}}};
    const share::request ask{
        {base::instance_id("a"), 3}, {"127.0.0.1", 17000}, khomas, 9, 2,
        {{pair, {500}, {900}}}};
    const share::grant grant{
        {base::instance_id("a"), 3},  khomas, 2, 9, {{pair, {700}}},
        {{base::shift_id("s"), {40}}}};
    const shift::load_report report{base::instance_id("a"), uses};
    const shift::load_summary summary{khomas, 4, uses};
    const auto check_round_trip = [](const auto& sent) {
        const auto decoded = peer::decode(peer::encode(sent));
        REQUIRE(decoded);
        CHECK(std::get<std::decay_t<decltype(sent)>>(*decoded) == sent);
    };
    check_round_trip(ask);
    check_round_trip(grant);
    check_round_trip(report);
    check_round_trip(summary);
}

TEST_CASE("a share greater than the whole cap is rejected") {
    share::request ask;
    ask.owner = base::region_id("khomas");
    ask.reply_to = {"127.0.0.1", 17000};
    ask.items = {{share::region_pair(ask.owner, base::region_id("erongo")),
                  {2'000'000},
                  {}}};
    CHECK(!peer::decode(peer::encode(ask)));
}
