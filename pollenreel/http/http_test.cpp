#include "pollenreel/http/client.hpp"
#include "pollenreel/http/client_stream.hpp"
#include "pollenreel/http/error.hpp"
#include "pollenreel/http/server.hpp"
#include "testing/held_server.hpp"
#include "testing/ports.hpp"
#include "testing/raw_exchange.hpp"
#include "testing/stalled_path.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <set>
#include <thread>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::free_endpoint;
using testing::held_server;
using testing::raw_exchange;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

http::request get(std::string path) {
    http::request r;
    r.path = std::move(path);
    return r;
}

// A server on a thread of its own that answers with the request's path.
class echo_server {
public:
    echo_server()
        : m_at(free_endpoint()),
          m_server(m_io, options(m_at),
                   [](const http::request& r, const http::responder& answer) {
                       answer({200, {}, r.path + r.body});
                   }) {
        REQUIRE(m_server.start().has_value());
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~echo_server() {
        asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }
    [[nodiscard]] const base::endpoint& at() const { return m_at; }

private:
    static http::server_options options(const base::endpoint& at) {
        http::server_options o;
        o.listen = at;
        o.limits = {1024, 4096};
        o.refusal_headers = {{"Pollenreel-Outcome", "not-run"}};
        return o;
    }

    base::endpoint m_at;
    asio::io_context m_io;
    http::server m_server;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a server answers malformed and oversized requests itself") {
    struct row {
        const char* name;
        std::string bytes;
        const char* status;
    };
    const row rows[] = {
        {"a line that is not HTTP", "what is this\r\n\r\n", " 400 "},
        {"an oversized header",
         "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
         " 431 "},
        {"an oversized body",
         "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
             std::string(5000, 'x'),
         " 413 "},
        {"a well-formed request", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
         " 200 "},
    };
    const echo_server server;
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto got = raw_exchange(server.at(), r.bytes);
        CHECK(got.find(r.status) != std::string::npos);
        const bool refused = got.find(" 200 ") == std::string::npos;
        CHECK((got.find("Pollenreel-Outcome: not-run") != std::string::npos) ==
              refused);
    }
    CHECK(http::call_and_wait(server.at(), get("/still-up"), 1s).value().body ==
          "/still-up");
}

TEST_CASE("a client delivers only whole answers") {
    struct row {
        const char* name;
        const char* bytes;
        std::optional<http::error> expected;
    };
    const row rows[] = {
        {"a whole answer",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
         {}},
        {"a body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
         http::error::incomplete_message},
        {"a body without a length", "HTTP/1.1 200 OK\r\n\r\nok",
         http::error::incomplete_message},
        {"no answer at all", "", http::error::connection_lost},
        {"bytes that are not HTTP", "garbage\r\n\r\n",
         http::error::malformed_message},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        const base::endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
        std::thread peer([&] {
            tcp::socket s(io);
            acceptor.accept(s);
            std::string seen;
            boost::system::error_code e;
            asio::read_until(s, asio::dynamic_buffer(seen), "\r\n\r\n", e);
            asio::write(s, asio::buffer(std::string(r.bytes)), e);
        });
        const auto got = http::call_and_wait(at, get("/"), 2s);
        peer.join();
        CHECK(got.has_value() == !r.expected.has_value());
        if (r.expected && !got) {
            CHECK(got.error().code == make_error_code(*r.expected));
        }
    }
}

TEST_CASE("a handler learns when its caller has left") {
    struct row {
        const char* name;
        bool leaves;
    };
    const row rows[] = {
        {"a caller that closes before the answer", true},
        {"a caller that waits", false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        http::server_options options;
        options.listen = free_endpoint();
        int gone = 0;
        std::optional<http::responder> held;
        http::server server(io, options,
                            [&](const http::request&, http::responder answer) {
                                answer.on_gone([&] {
                                    ++gone;
                                    (*held)({200, {}, ""});
                                });
                                held = std::move(answer);
                            });
        REQUIRE(server.start().has_value());
        tcp::socket caller(io);
        caller.connect({asio::ip::make_address_v4(options.listen.host),
                        options.listen.port});
        asio::write(caller,
                    asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        while (!held) {
            io.run_one();
        }
        if (r.leaves) {
            caller.close();
            while (server.connections() > 0) {
                io.run_one();
            }
        } else {
            (*held)({200, {}, ""});
            std::string got;
            asio::async_read_until(caller, asio::dynamic_buffer(got),
                                   "\r\n\r\n", [](auto, auto) {});
            while (got.empty()) {
                io.run_one();
            }
        }
        CHECK(gone == (r.leaves ? 1 : 0));
    }
}

// The end of the stream waits in a busy loop behind what was queued before.
TEST_CASE("a responder knows of a caller that has left before the loop does") {
    struct row {
        const char* name;
        bool leaves_unread; // before its request is read
        bool leaves;
    };
    const row rows[] = {
        {"a caller that waits", false, false},
        {"a caller that has left before its request is read", true, false},
        {"a caller that leaves later", false, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        held_server s;
        s.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        if (r.leaves_unread) {
            s.caller.close();
        }
        s.run_until([&] { return s.answers.size() == 1; });
        if (r.leaves) {
            s.caller.close();
        }
        CHECK(s.answers[0].has_caller_left() == (r.leaves_unread || r.leaves));
        CHECK(s.gone == 0);
    }
}

namespace {

http::server_options pipelined() {
    http::server_options o;
    o.max_pipelined = 3;
    return o;
}

const std::string two_requests =
    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE("pipelined requests are worked on at once and answered in order") {
    held_server s(pipelined());
    s.send(two_requests);
    s.run_until([&] { return s.answers.size() == 2; });
    s.answers[1]({200, {}, "second"});
    s.answers[0]({200, {}, "first"});
    const auto got = s.receive(2);
    CHECK(got.find("first") < got.find("second"));
    CHECK(got.find("second") != std::string::npos);
}

TEST_CASE("no more requests are read ahead than allowed") {
    held_server s(pipelined());
    s.send(two_requests + two_requests + two_requests);
    s.run_until([&] { return s.answers.size() == 3; });
    CHECK(s.paths.size() == 3);
    s.answers[0]({200, {}, "x"});
    s.run_until([&] { return s.answers.size() == 4; });
}

TEST_CASE("a caller that leaves takes all its requests with it") {
    held_server s(pipelined());
    s.send(two_requests);
    s.run_until([&] { return s.answers.size() == 2; });
    s.caller.close();
    s.run_until([&] { return s.gone == 2; });
    s.answers[0]({200, {}, "too late"});
    s.run_until([&] { return s.server().connections() == 0; });
}

// Nothing was read, and so no end of the stream, while as many requests were
// under way as the server reads ahead.
TEST_CASE("a caller that leaves is noticed while no more requests are read") {
    held_server s(pipelined());
    s.send(two_requests + "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.run_until([&] { return s.answers.size() == 3; });
    s.send("GET /4 HTTP/1.1\r\nHost: a\r\n\r\n"); // stays unread
    s.settle();
    s.caller.close();
    s.run_until([&] { return s.gone == 3; });
    CHECK(s.answers.size() == 3);
}

TEST_CASE("a draining server answers what it has read, then closes") {
    held_server s(pipelined());
    s.send(two_requests);
    s.run_until([&] { return s.answers.size() == 2; });
    s.server().drain();
    s.answers[0]({200, {}, "first"});
    s.answers[1]({200, {}, "second"});
    const auto got = s.receive(2);
    CHECK(got.find("Connection: close") > got.find("first"));
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(got.find("second") != std::string::npos);
}

TEST_CASE("a draining server closes idle connections") {
    struct row {
        const char* name;
        bool writing; // the answer is still being written
    };
    const row rows[] = {
        {"after the answer", false},
        {"while the answer is written", true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        held_server s(pipelined());
        s.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.run_until([&] { return s.answers.size() == 1; });
        s.answers[0]({200, {}, "x"});
        if (!r.writing) {
            s.receive(1);
            s.settle();
        }
        s.server().drain();
        s.run_until([&] { return s.server().connections() == 0; });
    }
}

TEST_CASE("a caller that is slow to send is cut off") {
    struct row {
        const char* name;
        const char* sent;
        bool cut;
    };
    const row rows[] = {
        {"half a header", "GET / HTTP/1.1\r\nHo", true},
        {"half a body", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
         true},
        {"nothing at all", "", true},
        {"a request that waits for its answer", "GET / HTTP/1.1\r\n\r\n",
         false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        http::server_options o;
        o.idle_timeout = 50ms;
        o.header_timeout = 50ms;
        o.body_timeout = 50ms;
        held_server s(o);
        s.run_until([&] { return s.server().connections() == 1; });
        if (*r.sent != '\0') {
            s.send(r.sent);
        }
        if (r.cut) {
            s.run_until([&] { return s.server().connections() == 0; });
        } else {
            s.run_until([&] { return s.answers.size() == 1; });
            asio::steady_timer wait(s.caller.get_executor(), 600ms);
            bool waited = false;
            wait.async_wait([&](auto) { waited = true; });
            s.run_until([&] { return waited; });
            CHECK(s.server().connections() == 1);
        }
    }
}

TEST_CASE("idle callers give way to new ones, busy callers do not") {
    struct row {
        const char* name;
        bool busy; // the callers wait for answers
        bool served;
    };
    const row rows[] = {
        {"all places are idle", false, true},
        {"all places are busy", true, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        http::server_options o;
        o.max_connections = 3;
        held_server s(o);
        std::vector<tcp::socket> others;
        others.reserve(2);
        for (int i = 0; i < 2; ++i) {
            others.push_back(s.connect());
        }
        s.run_until([&] { return s.server().connections() == 3; });
        const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
        if (r.busy) {
            s.send(request);
            for (auto& other : others) {
                asio::write(other, asio::buffer(request));
            }
            s.run_until([&] { return s.answers.size() == 3; });
        }
        auto late = s.connect();
        boost::system::error_code e;
        asio::write(late, asio::buffer(request), e);
        if (r.served) {
            s.run_until([&] { return s.answers.size() == 1; });
            CHECK(s.server().counters().idle_closed == 1);
        } else {
            s.run_until(
                [&] { return s.server().counters().refused_connections == 1; });
            CHECK(s.answers.size() == 3);
        }
    }
}

TEST_CASE("an answer to another request is dropped, or ends the exchange") {
    const std::string stray = "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
                              "Content-Length: 5\r\n\r\nstray";
    const std::string own =
        "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown";
    const std::string to_the_end = "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nall";
    struct row {
        const char* name;
        std::string bytes;
        const char* expected; // empty: a failure
    };
    const row rows[] = {
        {"the own answer", own, "own"},
        {"a stray one before it", stray + own, "own"},
        {"only stray ones", stray + stray, ""},
        {"more strays than are borne",
         stray + stray + stray + stray + stray + stray + own, ""},
        {"one that ends with the connection", to_the_end, "all"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        const base::endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
        std::thread peer([&] {
            asio::io_context own_io;
            tcp::socket s(own_io);
            acceptor.accept(s);
            std::string seen;
            boost::system::error_code e;
            asio::read_until(s, asio::dynamic_buffer(seen), "\r\n\r\n", e);
            asio::write(s, asio::buffer(r.bytes), e);
        });
        http::client_connection c(io);
        std::string got;
        c.connect(at, 1s, [&](const base::result<void>& up) {
            REQUIRE(up.has_value());
            http::answer_terms terms;
            terms.allow_close_delimited = true;
            terms.matches = [](const http::response& a) {
                return http::find(a.headers, "X-Id") == "own";
            };
            c.exchange(
                get("/"), {}, 2s,
                [&](const base::result<http::response>& a) {
                    got = a ? a.value().body : "";
                    CHECK((!c.reusable() || r.name == rows[0].name));
                },
                terms);
        });
        io.run();
        peer.join();
        CHECK(got == r.expected);
    }
}

// Idle connections that had fallen silent together cost one time-out each
// before a new connection was tried.
TEST_CASE("after a time-out a client uses no older idle connection") {
    asio::io_context io;
    http::server_options options;
    options.listen = free_endpoint();
    std::vector<http::responder> held;
    std::set<std::uint16_t> silent;
    std::set<std::uint16_t> seen;
    http::server server(
        io, options, [&](const http::request& r, http::responder answer) {
            seen.insert(r.caller_port);
            if (held.size() < 2 || silent.contains(r.caller_port)) {
                return held.push_back(std::move(answer));
            }
            answer({200, {}, "new"});
        });
    REQUIRE(server.start().has_value());
    http::client client(io);
    int ended = 0;
    std::optional<base::result<http::response>> last;
    const auto call = [&](std::chrono::milliseconds timeout) {
        client.call(options.listen, get("/"), timeout, [&](auto r) {
            ++ended;
            last = std::move(r);
        });
    };
    const auto run_until = [&](auto reached) {
        for (int i = 0; i < 1000 && !reached(); ++i) {
            io.run_one_for(10ms);
        }
        REQUIRE(reached());
    };
    call(5s);
    call(5s);
    run_until([&] { return held.size() == 2; });
    held[0]({200, {}, ""});
    held[1]({200, {}, ""});
    run_until([&] { return ended == 2; });
    silent = seen;
    call(100ms);
    run_until([&] { return ended == 3; });
    CHECK(last->error().code == make_error_code(http::error::timed_out));
    call(5s);
    run_until([&] { return ended == 4; });
    REQUIRE(last->has_value());
    CHECK(last->value().body == "new");
}

TEST_CASE("headers of one connection are not passed on") {
    http::headers h = {{"Connection", "keep-alive, X-Hop"}, {"x-hop", "1"},
                       {"Keep-Alive", "timeout=5"},         {"Host", "a"},
                       {"Transfer-Encoding", "chunked"},    {"X-Kept", "2"}};
    http::drop_connection_headers(h);
    REQUIRE(h.size() == 2);
    CHECK(h[0].name == "Host");
    CHECK(h[1].name == "X-Kept");
}

// A conditional write to the store that had timed out was delivered when the
// path came back, and took effect.
TEST_CASE("a call that timed out delivers nothing more") {
    testing::stalled_path path;
    http::client client(path.io());
    std::optional<base::result<http::response>> got;
    client.call(path.address(), {"POST", "/", {}, std::string(200'000, 'b')},
                200ms, [&](auto r) { got = std::move(r); });
    path.run_for(60ms);
    const auto acknowledged = path.acknowledged();
    path.run_for(1s);
    REQUIRE(got.has_value());
    CHECK(got->error().code == make_error_code(http::error::timed_out));
    const auto end = path.restore();
    CHECK(end.received <= acknowledged);
    CHECK(end.was_reset);
}

TEST_CASE("a call whose client is gone delivers nothing more") {
    testing::stalled_path path;
    std::optional<http::client> client(path.io());
    client->call(path.address(), {"POST", "/", {}, std::string(200'000, 'b')},
                 10s, [](const auto&) { FAIL("called after the end"); });
    path.run_for(60ms);
    const auto acknowledged = path.acknowledged();
    client.reset();
    const auto end = path.restore();
    CHECK(end.received <= acknowledged);
    CHECK(end.was_reset);
}

TEST_CASE("a stream that is closed delivers nothing more") {
    testing::stalled_path path;
    http::client_stream stream(path.io());
    stream.open(path.address(), {"POST", "/", {}, std::string(200'000, 'b')},
                10s, {[](std::string_view) {}, [](const base::failure&) {}});
    path.run_for(60ms);
    const auto acknowledged = path.acknowledged();
    stream.close();
    const auto end = path.restore();
    CHECK(end.received <= acknowledged);
    CHECK(end.was_reset);
}
