#include "cli/instance_client.hpp"

#include "testing/raw_server.hpp"
#include "testing/response_forms.hpp"

#include <doctest/doctest.h>

using namespace pollenreel;

TEST_CASE("what is no response of an instance leaves the outcome unknown") {
    for (const auto& f :
         testing::response_forms_with(R"({"outcome":"accepted"})")) {
        CAPTURE(f.name);
        const testing::raw_server server(
            [&](const std::string&) { return testing::raw_reply{f.bytes}; });
        const cli::instance_client client({server.at()}, {"token", "a", "1"});
        const auto expected =
            f.expected ? cli::exit_code::done : cli::exit_code::unknown;
        CHECK(client.call("POST", "/v1/command", "status").code == expected);
    }
}
