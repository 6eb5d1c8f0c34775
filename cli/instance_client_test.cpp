#include "cli/instance_client.hpp"

#include "testing/raw_server.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;

TEST_CASE("what is no response of an instance leaves the outcome unknown") {
    const std::string body = R"({"outcome":"accepted"})";
    const std::string length =
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    struct row {
        std::string name;
        std::string bytes;
        cli::exit_code expected;
    };
    const row rows[] = {
        {"a response", ok + length + "\r\n" + body, cli::exit_code::done},
        {"an interim one first",
         "HTTP/1.1 100 Continue\r\n\r\n" + ok + length + "\r\n" + body,
         cli::exit_code::done},
        {"status 000", "HTTP/1.1 000 None\r\n" + length + "\r\n" + body,
         cli::exit_code::unknown},
        {"a blank in a name", ok + "X Y: 1\r\n" + length + "\r\n" + body,
         cli::exit_code::unknown},
        {"a coding that is not spoken",
         ok + "Transfer-Encoding: gzip\r\n" + length + "\r\n" + body,
         cli::exit_code::unknown},
        {"no length", ok + "\r\n" + body, cli::exit_code::unknown},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const testing::raw_server server(
            [&](const std::string&) { return testing::raw_reply{r.bytes}; });
        const cli::instance_client client({server.at()}, {"token", "a", "1"});
        CHECK(client.call("POST", "/v1/command", "status").code == r.expected);
    }
}
