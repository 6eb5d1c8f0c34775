#include "pollenreel/request/attempt.hpp"

#include <doctest/doctest.h>

#include <functional>

namespace {

using namespace pollenreel::request;
using step = attempt::step;

constexpr response_info whole{200, false, true};
constexpr response_info shed{503, true, true};
constexpr response_info crossed{200, false, false};

} // namespace

TEST_CASE("an attempt says not-run only when nothing was written") {
    struct row {
        const char* name;
        std::function<step(attempt&)> last;
        bool connected_before;
        step expected;
        refusal failure;
    };
    const row rows[] = {
        {"connect refused",
         [](attempt& a) { return a.on_connect_failed(); },
         false,
         step::fail,
         {outcome::not_run, reason::connect_failed}},
        {"lost while connecting",
         [](attempt& a) { return a.on_connection_lost(); },
         false,
         step::fail,
         {outcome::not_run, reason::connect_failed}},
        {"deadline while connecting",
         [](attempt& a) { return a.on_cancel(reason::deadline_expired); },
         false,
         step::fail,
         {outcome::not_run, reason::deadline_expired}},
        {"lost after the write began",
         [](attempt& a) { return a.on_connection_lost(); },
         true,
         step::fail,
         {outcome::unknown, reason::connection_lost}},
        {"deadline after the write began",
         [](attempt& a) { return a.on_cancel(reason::deadline_expired); },
         true,
         step::fail,
         {outcome::unknown, reason::deadline_expired}},
        {"shed by the target",
         [](attempt& a) { return a.on_response(shed); },
         true,
         step::fail,
         {outcome::not_run, reason::target_shed}},
        {"another request's answer",
         [](attempt& a) { return a.on_response(crossed); },
         true,
         step::fail,
         {outcome::unknown, reason::wrong_answer}},
        {"its own whole answer",
         [](attempt& a) { return a.on_response(whole); },
         true,
         step::forward,
         {}},
        {"an answer before anything was written",
         [](attempt& a) { return a.on_response(whole); },
         false,
         step::nothing,
         {}},
        {"a second connect event",
         [](attempt& a) { return a.on_connected(); },
         true,
         step::nothing,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        attempt a;
        if (r.connected_before) {
            CHECK(a.on_connected() == step::send);
        }
        CHECK(r.last(a) == r.expected);
        if (r.expected == step::fail) {
            CHECK(a.failure() == r.failure);
            CHECK(a.on_connected() == step::nothing);
            CHECK(a.on_response(whole) == step::nothing);
            CHECK(a.on_cancel(reason::stopping) == step::nothing);
        }
    }
}
