#include "pollenreel/http/client.hpp"
#include "pollenreel/relay/client.hpp"
#include "pollenreel/relay/codec.hpp"
#include "pollenreel/relay/listener.hpp"
#include "testing/ports.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace pollenreel;
using namespace std::chrono_literals;

namespace {

class fixture {
public:
    fixture()
        : at(testing::free_endpoint()),
          listener(
              io, at, clock,
              [this](const auto& poll) {
                  last_known = poll.known_revision.value;
                  return next_response;
              },
              [this](const auto& request) {
                  last_key = request.key;
                  return next_value;
              }),
          m_client(io) {
        REQUIRE(listener.start().has_value());
    }
    void poll(const std::string& path = "") {
        auto r = relay::encode({{7}, 800ms});
        if (!path.empty()) {
            r.path = path;
        }
        m_client.call(at, r, 5s, [this](const auto& a) {
            REQUIRE(a.has_value());
            status = a.value().status;
            response = relay::decode_response(a.value());
        });
    }
    // Runs until the response arrives, or long enough to show that none does.
    void settle(bool expect_answer) {
        for (int i = 0; i < 500 && status == 0; ++i) {
            io.run_for(std::chrono::milliseconds(expect_answer ? 10 : 1));
            if (!expect_answer && i > 50) {
                return;
            }
        }
    }

    boost::asio::io_context io;
    base::manual_clock clock;
    base::endpoint at;
    fleet::relay_response next_response{
        fleet::relay_status::current, {7}, {}, {}};
    std::optional<store::key_change> next_value;
    std::int64_t last_known = 0;
    std::string last_key;
    unsigned status = 0;
    std::optional<fleet::relay_response> response;
    relay::listener listener;

private:
    http::client m_client;
};

} // namespace

TEST_CASE("a poll waits for the next report of the store or its maximum wait") {
    struct row {
        const char* name;
        bool report;
        std::chrono::milliseconds passed;
        bool answered;
    };
    const row rows[] = {
        {"nothing happens", false, 700ms, false},
        {"its maximum wait has passed", false, 800ms, true},
        {"the store reported", true, 0ms, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        fixture f;
        f.poll();
        f.settle(false);
        CHECK(f.last_known == 7);
        CHECK(f.status == 0);
        f.clock.advance(r.passed);
        f.listener.tick();
        if (r.report) {
            f.next_response.seen_revision = {9};
            f.listener.on_progress();
        }
        f.settle(r.answered);
        CHECK((f.status == 200) == r.answered);
        if (r.report) {
            REQUIRE(f.response.has_value());
            CHECK(f.response->seen_revision.value == 9);
        }
    }
}

TEST_CASE("a poll is answered immediately when there is news") {
    fixture f;
    SUBCASE("changes") {
        f.next_response.changes.push_back({"t/a", {8}, std::nullopt});
    }
    SUBCASE("it is not watching") {
        f.next_response = {};
    }
    f.poll();
    f.settle(true);
    CHECK(f.status == 200);
}

TEST_CASE("a malformed request gets 400") {
    fixture f;
    f.poll("/else");
    f.settle(true);
    CHECK(f.status == 400);
}

TEST_CASE("a fetch returns the value of a key, or nothing if it is not sent") {
    for (const bool is_sent : {true, false}) {
        CAPTURE(is_sent);
        fixture f;
        if (is_sent) {
            f.next_value = {
                "c", {8}, store::entry{"c", std::string(20'000, 'v'), {8}, {}}};
        }
        relay::client client(f.io, f.clock);
        std::optional<base::result<fleet::relayed_value>> fetched;
        client.fetch(f.at, {"c"}, 5s, [&](const auto& c) { fetched = c; });
        while (!fetched) {
            REQUIRE(f.io.run_one() > 0);
        }
        CHECK(f.last_key == "c");
        REQUIRE(fetched->has_value() == is_sent);
        if (is_sent) {
            const auto& c = std::get<store::key_change>(fetched->value());
            CHECK(c.at.value == 8);
            CHECK(c.value->value.size() == 20'000);
        }
    }
}

// A relay whose clock is wrong would keep the keys of its followers confirmed
// for as long as it states times that have not come.
TEST_CASE("nothing is confirmed later than its response arrives") {
    struct row {
        std::chrono::milliseconds stated;
        std::chrono::milliseconds taken;
    };
    for (const row r : {row{1h, 0ms}, row{-40ms, -40ms}}) {
        fixture f;
        f.next_response.changes = {{"t/a", {8}, std::nullopt}};
        f.next_response.confirmed_after = r.stated;
        relay::client client(f.io, f.clock);
        std::optional<fleet::relay_response> got;
        client.poll(f.at, {{7}, 0ms}, 5s, [&](const auto& a) { got = a; });
        for (int i = 0; i < 500 && !got; ++i) {
            f.io.run_for(10ms);
        }
        REQUIRE(got.has_value());
        CHECK(got->asked_at == f.clock.boot_now());
        CHECK(got->confirmed_after == r.taken);
    }
}
