// Requests that a server refuses without having read them to their end, behind
// others on the same connection.
#include "testing/held_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::held_server;

const std::string quoted = "POST /quoted HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 0\r\n\r\n";

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string put(const std::string& path, std::size_t length) {
    return "PUT " + path +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

http::server_options options() {
    http::server_options o;
    o.max_pipelined = 3;
    o.limits.body_bytes = 200'000;
    o.budget = std::make_shared<http::receive_budget>(100'000);
    o.header_filter =
        [](const http::request& r) -> std::optional<http::response> {
        if (r.path == "/unknown") {
            return http::response{404, {}, ""};
        }
        return {};
    };
    return o;
}

void wait(held_server& s, std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(s.caller.get_executor(), time);
    bool over = false;
    timer.async_wait([&](auto) { over = true; });
    s.run_until([&] { return over; });
}

} // namespace

// Once an earlier request had been answered, the unread body of a refused
// request was read as the next request and run.
TEST_CASE("nothing behind the last request of a connection is a request") {
    struct row {
        const char* name;
        std::string last;   // the request, without what follows it
        const char* status; // of its response; null: the handler's
    };
    const row rows[] = {
        {"refused by the filter", put("/unknown", quoted.size()), "404"},
        {"a body beyond the limit", put("/3", 200'001), "413"},
        {"no memory for the body", put("/3", 150'000), "503"},
        {"a malformed chunk",
         "PUT /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "no size\r\n",
         "400"},
        {"a malformed header", "GET /3 HTTP/1.1\r\nno field\r\n\r\n", "400"},
        {"a request that asks to close",
         "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", nullptr},
    };
    for (const auto& r : rows) {
        for (const bool draining : {false, true}) {
            CAPTURE(r.name);
            CAPTURE(draining);
            held_server s(options());
            s.send(get("/1") + get("/2") + r.last + quoted);
            const std::size_t handled = r.status != nullptr ? 2 : 3;
            s.run_until([&] { return s.answers.size() >= handled; });
            if (draining) {
                s.server().drain();
            }
            s.answers[0]({200, {}, "first"});
            auto got = s.receive(1);
            s.settle();
            CHECK(s.answers.size() == handled);
            s.answers[1]({200, {}, "second"});
            if (r.status == nullptr) {
                s.answers[2]({200, {}, "third"});
            }
            got += s.receive(2);
            s.settle();
            CHECK(s.answers.size() == handled);
            CHECK(got.find("second") != std::string::npos);
            CHECK(got.find(r.status != nullptr ? r.status : "third") !=
                  std::string::npos);
        }
    }
}

// The bytes between two chunks were kept without bound until the time-out for
// bodies.
TEST_CASE("a caller's bytes without end are cut off outside of its body") {
    const std::string chunked =
        "PUT /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct row {
        const char* name;
        std::string head;
        std::string bytes;
    };
    const std::string fields = "A: " + std::string(1000, 'b') + "\r\n";
    const row rows[] = {
        {"a header field", "GET /1 HTTP/1.1\r\nA: ", std::string(1000, 'b')},
        {"header fields", "GET /1 HTTP/1.1\r\n", fields},
        {"a chunk extension", chunked + "1;", std::string(1000, 'b')},
        {"trailers", chunked + "1\r\nx\r\n0\r\n", fields},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        held_server s(options());
        s.send(r.head);
        std::string got;
        for (int i = 0; i < 500 && got.empty(); ++i) {
            boost::system::error_code e;
            s.caller.write_some(boost::asio::buffer(r.bytes), e);
            s.settle();
            got = s.received();
        }
        CHECK(got.find(" 431 ") != std::string::npos);
        CHECK(s.answers.empty());
    }
}

// The unread body was taken for a slow header, and the connection was closed
// at its time-out with the responses that were owed.
TEST_CASE("a refused body does not time out the requests before it") {
    auto o = options();
    o.header_timeout = 50ms;
    o.body_timeout = 50ms;
    o.idle_timeout = 50ms;
    held_server s(o);
    s.send(get("/1") + get("/2") + put("/unknown", 4000) +
           std::string(4000, 'x'));
    s.run_until([&] { return s.answers.size() == 2; });
    s.answers[0]({200, {}, "first"});
    s.receive(1);
    wait(s, 600ms);
    CHECK(s.gone == 0);
    s.answers[1]({200, {}, "second"});
    const auto got = s.receive(2);
    CHECK(got.find("second") != std::string::npos);
    CHECK(got.find("404") != std::string::npos);
}
