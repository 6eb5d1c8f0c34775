#include "pollenreel/peer/codec.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;

TEST_CASE("what shares caps and tells of load comes back as it was sent") {
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
    const auto returns = [](const auto& sent) {
        const auto got = peer::decode(peer::encode(sent));
        REQUIRE(got);
        CHECK(std::get<std::decay_t<decltype(sent)>>(*got) == sent);
    };
    returns(ask);
    returns(grant);
    returns(report);
    returns(summary);
}

TEST_CASE("an impossible part of a cap is no message") {
    share::request ask;
    ask.owner = base::region_id("khomas");
    ask.reply_to = {"127.0.0.1", 17000};
    ask.items = {{share::region_pair(ask.owner, base::region_id("erongo")),
                  {2'000'000},
                  {}}};
    CHECK(!peer::decode(peer::encode(ask)));
}
