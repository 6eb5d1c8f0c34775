#include "pollenreel/node/operator_interface.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;

namespace {

const std::string token = "a-token-of-the-fleet";

http::request call(const char* method, const char* path, const char* body,
                   const std::string& authorization = "Bearer " + token) {
    http::request r;
    r.method = method;
    r.path = path;
    r.body = body;
    r.headers = {{"Authorization", authorization},
                 {"Pollenreel-Author", "kim"},
                 {"Pollenreel-Command-Id", "c1"}};
    return r;
}

} // namespace

TEST_CASE("operators' calls are refused with what is wrong") {
    struct row {
        const char* name;
        http::request request;
        unsigned status;
        const char* mentions;
    };
    const row rows[] = {
        {"no token", call("POST", "/v1/command", "status", ""), 401, "token"},
        {"a wrong token",
         call("POST", "/v1/command", "status", "Bearer " + token + "x"), 401,
         "token"},
        {"the token without its scheme",
         call("POST", "/v1/command", "status", token), 401, "token"},
        {"metrics without the token", call("GET", "/metrics", "", ""), 401,
         "token"},
        {"a misspelt command", call("POST", "/v1/command", "statsu"), 400,
         "did you mean 'status'?"},
        {"declarations that are no JSON",
         call("PUT", "/v1/declarations", "oops"), 400, "not JSON"},
        {"a plan with an unknown key",
         call("POST", "/v1/plan", R"({"fleet":1})"), 400, "unknown key"},
        {"an unknown path", call("GET", "/v1/elsewhere", ""), 404, "path"},
        {"a wrong method", call("GET", "/v1/command", "status"), 404, "method"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto read =
            node::read_operator_call(r.request, control::call_id(1), token);
        const auto* refused = std::get_if<node::operator_refusal>(&read);
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.status == r.status);
        CAPTURE(refused->answer.body);
        CHECK(refused->answer.body.find(r.mentions) != std::string::npos);
    }
}

TEST_CASE("a change carries who made it and the id that makes it idempotent") {
    const auto read =
        node::read_operator_call(call("POST", "/v1/command", "drain target t"),
                                 control::call_id(7), token);
    const auto* change = std::get_if<control::change_received>(&read);
    REQUIRE(change != nullptr);
    CHECK(change->call == control::call_id(7));
    CHECK(change->change.author == "kim");
    CHECK(change->change.command == base::command_id("c1"));
}
