#include "pollenreel/http/client.hpp"
#include "pollenreel/relay/check_client.hpp"
#include "pollenreel/relay/check_codec.hpp"
#include "pollenreel/relay/listener.hpp"
#include "testing/ports.hpp"
#include "testing/raw_server.hpp"
#include "testing/response_forms.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <utility>
#include <vector>

using namespace pollenreel;
using namespace std::chrono_literals;

namespace {

enum class behaviour { checks, cannot_check, is_silent, is_down };

// An instance that checks targets, on the loopback interface.
class peer {
public:
    peer(boost::asio::io_context& io, const base::clock& clock, behaviour does)
        : at(testing::free_endpoint()),
          m_listener(
              io, at, clock,
              [](const auto&) { return fleet::relay_response{}; },
              [](const auto&) { return std::nullopt; }) {
        m_listener.serve_checks([this, does](const auto& target, auto done) {
            ++asked;
            last = target;
            if (does == behaviour::is_silent) {
                m_unanswered.push_back(std::move(done));
                return;
            }
            done(does == behaviour::checks
                     ? std::optional(request::target_check{true, 1500ms, true})
                     : std::nullopt);
        });
        if (does != behaviour::is_down) {
            REQUIRE(m_listener.start().has_value());
        }
    }

    base::endpoint at;
    int asked = 0;
    request::chosen_target last;

private:
    std::vector<
        std::function<void(const std::optional<request::target_check>&)>>
        m_unanswered;
    relay::listener m_listener;
};

} // namespace

TEST_CASE("a peer is asked to check a target, the next one if it fails") {
    struct row {
        const char* name;
        behaviour first;
        bool answered_at_once; // the first question
        bool answered_later;   // the second one
        int asked_second;      // times that the second peer was asked
    };
    const row rows[] = {
        {"it checks the target", behaviour::checks, true, true, 0},
        {"it cannot", behaviour::cannot_check, false, false, 0},
        {"it does not answer in time", behaviour::is_silent, false, true, 1},
        {"it is down", behaviour::is_down, false, true, 1},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        boost::asio::io_context io;
        base::manual_clock clock;
        peer first(io, clock, r.first);
        peer second(io, clock, behaviour::checks);
        relay::check_client client(io, clock);
        const request::chosen_target target{base::target_id("t-1"),
                                            {"10.0.0.1", 8080}};
        const auto ask = [&] {
            std::optional<std::optional<request::target_check>> result;
            client.ask(target, {first.at, second.at},
                       [&](const auto& check) { result = check; });
            CHECK_FALSE(result.has_value());
            while (!result) {
                REQUIRE(io.run_one() > 0);
            }
            // Lets the failure of the call be noticed as well.
            io.run_for(50ms);
            return *result;
        };
        const auto check = ask();
        CHECK(check.has_value() == r.answered_at_once);
        if (check) {
            CHECK(check->tells);
            CHECK(check->cold_for == 1500ms);
            CHECK(check->wrong_target);
            CHECK(first.last.id == target.id);
            CHECK(first.last.address == target.address);
        }
        CHECK(ask().has_value() == r.answered_later);
        CHECK(second.asked == r.asked_second);
    }
}

TEST_CASE("messages that ask for no check are not taken for one") {
    const http::request foreign{"POST", "/relay/changes", {}, ""};
    CHECK_FALSE(relay::decode_check_request(foreign).has_value());
    CHECK_FALSE(relay::decode_check({503, {}, ""}).has_value());
    CHECK_FALSE(relay::decode_check({200, {}, "\xff\xff"}).has_value());
    auto bad_port = relay::encode(
        request::chosen_target{base::target_id("t-1"), {"10.0.0.1", 1}});
    CHECK(relay::decode_check_request(bad_port).has_value());
    bad_port.body += std::string("\x18\xff\xff\x7f", 4); // the port, once more
    CHECK_FALSE(relay::decode_check_request(bad_port).has_value());
}

TEST_CASE("what is no response of a peer is no check") {
    const auto body = relay::encode(request::target_check{true, 1500ms}).body;
    for (const auto& f : testing::response_forms_with(body)) {
        CAPTURE(f.name);
        const testing::raw_server server(
            [&](const std::string&) { return testing::raw_reply{f.bytes}; });
        boost::asio::io_context io;
        const base::manual_clock clock;
        relay::check_client client(io, clock);
        std::optional<request::target_check> got;
        client.ask({base::target_id("t-1"), {"10.0.0.1", 8080}}, {server.at()},
                   [&](const auto& check) { got = check; });
        io.run();
        CHECK(got.has_value() == f.expected.has_value());
    }
}
