#include "pollenreel/request/classify.hpp"

#include <doctest/doctest.h>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::outcome;
using request::reason;

routing::snapshot sample_snapshot() {
    routing::snapshot snapshot;
    routing::service catalogue;
    catalogue.kinds = {
        {base::kind_id("browse"), {"GET"}, true, 500ms, 2},
        {base::kind_id("order"), {"POST"}, false, 2000ms, 0},
    };
    snapshot.services[base::service_id("catalogue")] = catalogue;
    return snapshot;
}

} // namespace

TEST_CASE("classify") {
    struct row {
        const char* name;
        const char* service;
        const char* method;
        std::optional<const char*> kind;
        std::optional<std::chrono::milliseconds> deadline;
        std::variant<std::chrono::milliseconds, reason> expected;
    };
    const row rows[] = {
        {"selects the kind by method", "catalogue", "POST", {}, {}, 2000ms},
        {"selects the kind that the caller names",
         "catalogue",
         "GET",
         "order",
         {},
         2000ms},
        {"lets the caller shorten the deadline",
         "catalogue",
         "GET",
         {},
         100ms,
         100ms},
        {"does not let the caller extend it",
         "catalogue",
         "GET",
         {},
         9000ms,
         500ms},
        {"refuses an unknown service",
         "shop",
         "GET",
         {},
         {},
         reason::unknown_service},
        {"refuses an unknown kind",
         "catalogue",
         "GET",
         "sale",
         {},
         reason::unknown_kind},
        {"refuses an undeclared method",
         "catalogue",
         "PATCH",
         {},
         {},
         reason::unknown_kind},
        {"refuses a zero deadline",
         "catalogue",
         "GET",
         {},
         0ms,
         reason::bad_deadline},
    };
    const auto snapshot = sample_snapshot();
    const base::time_point now{1h};
    for (const auto& r : rows) {
        CAPTURE(r.name);
        request::incoming_request request{base::request_id(1),
                                          base::service_id(r.service),
                                          r.method,
                                          {},
                                          r.deadline};
        if (r.kind) {
            request.kind = base::kind_id(*r.kind);
        }
        const auto result = request::classify(request, snapshot, now);
        if (const auto* timeout =
                std::get_if<std::chrono::milliseconds>(&r.expected)) {
            REQUIRE(
                std::holds_alternative<request::classified_request>(result));
            CHECK(std::get<request::classified_request>(result).deadline ==
                  now + *timeout);
        } else {
            REQUIRE(std::holds_alternative<request::refusal>(result));
            CHECK(std::get<request::refusal>(result) ==
                  request::refusal{outcome::not_run,
                                   std::get<reason>(r.expected)});
        }
    }
}
