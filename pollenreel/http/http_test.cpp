#include "pollenreel/http/client.hpp"
#include "pollenreel/http/error.hpp"
#include "pollenreel/http/server.hpp"
#include "testing/ports.hpp"
#include "testing/raw_exchange.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using testing::free_endpoint;
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
