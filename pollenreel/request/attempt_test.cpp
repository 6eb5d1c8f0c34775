#include "pollenreel/request/attempt.hpp"

#include <doctest/doctest.h>

#include <functional>

namespace {

using namespace pollenreel::request;
using step = attempt::step;

constexpr response_info complete_response{200, false, true};
constexpr response_info shed_response{503, true, true};
constexpr response_info mismatched_response{200, false, false};

} // namespace

TEST_CASE("an attempt fails with not_run only if nothing was written") {
    struct row {
        const char* name;
        std::function<step(attempt&)> last;
        bool connected_before;
        step expected;
        refusal failure;
    };
    const row rows[] = {
        {"connection refused",
         [](attempt& a) { return a.on_connect_failed(); },
         false,
         step::fail,
         {outcome::not_run, reason::connect_failed}},
        {"connection lost while connecting",
         [](attempt& a) { return a.on_connection_lost(); },
         false,
         step::fail,
         {outcome::not_run, reason::connect_failed}},
        {"deadline expired while connecting",
         [](attempt& a) { return a.on_cancel(reason::deadline_expired); },
         false,
         step::fail,
         {outcome::not_run, reason::deadline_expired}},
        {"connection lost after the write started",
         [](attempt& a) { return a.on_connection_lost(); },
         true,
         step::fail,
         {outcome::unknown, reason::connection_lost}},
        {"deadline expired after the write started",
         [](attempt& a) { return a.on_cancel(reason::deadline_expired); },
         true,
         step::fail,
         {outcome::unknown, reason::deadline_expired}},
        {"shed by the target",
         [](attempt& a) { return a.on_response(shed_response); },
         true,
         step::fail,
         {outcome::not_run, reason::target_shed}},
        {"response to another request",
         [](attempt& a) { return a.on_response(mismatched_response); },
         true,
         step::fail,
         {outcome::unknown, reason::wrong_answer}},
        {"complete response to its own request",
         [](attempt& a) { return a.on_response(complete_response); },
         true,
         step::forward,
         {}},
        {"response before anything was written",
         [](attempt& a) { return a.on_response(complete_response); },
         false,
         step::nothing,
         {}},
        {"second connect event",
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
            CHECK(a.on_response(complete_response) == step::nothing);
            CHECK(a.on_cancel(reason::stopping) == step::nothing);
        }
    }
}
