#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/http/server.hpp"
#include "testing/ports.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t room = 200'000; // of the budget, in bytes

// A server and the end of one connection to it, on one thread.
class fixture {
public:
    explicit fixture(http::server_options o) {
        o.listen = testing::free_endpoint();
        server.emplace(m_io, o, [this](http::request r, http::responder a) {
            requests.push_back(std::move(r));
            answers.push_back(std::move(a));
        });
        REQUIRE(server->start().has_value());
        caller.connect(
            {asio::ip::make_address_v4(o.listen.host), o.listen.port});
        caller.non_blocking(true);
    }
    // Sends as much as the connection takes, while the server runs.
    void send(const std::string& bytes) {
        asio::async_write(caller, asio::buffer(bytes),
                          [](boost::system::error_code, std::size_t) {});
        settle();
    }
    void settle() {
        while (m_io.poll_one() > 0) {
        }
    }
    void run_for(std::chrono::milliseconds t) { m_io.run_for(t); }
    template <class Condition>
    void run_until(Condition reached) {
        for (int i = 0; i < 1000 && !reached(); ++i) {
            m_io.run_one_for(10ms);
        }
        REQUIRE(reached());
    }
    std::string received() {
        std::string all;
        run_until([&] {
            std::string bytes(65'536, '\0');
            boost::system::error_code e;
            bytes.resize(caller.receive(asio::buffer(bytes), 0, e));
            all += bytes;
            return all.find("\r\n\r\n") != std::string::npos;
        });
        return all;
    }

private:
    asio::io_context m_io;

public:
    std::optional<http::server> server;
    tcp::socket caller{m_io};
    std::vector<http::request> requests;
    std::vector<http::responder> answers;
};

std::string head(std::size_t length) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

const std::string chunked_head =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t length) {
    std::string size;
    for (auto n = length; n > 0; n /= 16) {
        size.insert(size.begin(), "0123456789abcdef"[n % 16]);
    }
    return size + "\r\n" + std::string(length, 'b') + "\r\n";
}

} // namespace

TEST_CASE("a request that cannot be served is refused before its body") {
    struct row {
        const char* name;
        bool filtered; // the filter refuses it
        std::string sent;
        const char* status; // null: it reaches the handler
    };
    const row rows[] = {
        {"no reason to refuse", false, head(5) + "12345", nullptr},
        {"the filter refuses", true, head(50'000), "404"},
        {"a body larger than the budget", false, head(room + 1), "503"},
        {"as many chunks", false,
         chunked_head + chunk(room / 2) + chunk(room / 2) + chunk(room / 2),
         "503"},
        {"a small body although the budget is small", false,
         head(60'000) + std::string(60'000, 'b'), nullptr},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        http::server_options o;
        o.budget = std::make_shared<http::receive_budget>(room);
        o.header_filter =
            [&](const http::request& q) -> std::optional<http::response> {
            CHECK(q.path == "/x");
            return r.filtered ? std::optional(http::response{404, {}, ""})
                              : std::nullopt;
        };
        fixture f(o);
        f.send(r.sent);
        if (r.status == nullptr) {
            f.run_until([&] { return f.requests.size() == 1; });
            continue;
        }
        const auto got = f.received();
        CHECK(got.find(std::string("HTTP/1.1 ") + r.status) == 0);
        CHECK(got.find("Connection: close") != std::string::npos);
        CHECK(f.requests.empty());
        CHECK((got.find("Retry-After") != std::string::npos) ==
              (std::string(r.status) == "503"));
        f.caller.close();
        f.run_until([&] { return f.server->connections() == 0; });
        CHECK(o.budget->used() == 0);
    }
}

TEST_CASE("the memory of a body is returned once its request is answered") {
    http::server_options o;
    o.budget = std::make_shared<http::receive_budget>(room);
    fixture f(o);
    for (std::size_t i = 1; i <= 3; ++i) {
        f.send(head(room * 3 / 4) + std::string(room * 3 / 4, 'b'));
        f.run_until([&] { return f.requests.size() == i; });
        CHECK(o.budget->used() == room * 3 / 4);
        f.answers.back()({200, {}, ""});
        CHECK(f.received().find("200") != std::string::npos);
        f.answers.clear();
        f.settle();
        CHECK(o.budget->used() == 0);
    }
    // A caller that leaves halfway returns it as well.
    f.send(head(room * 3 / 4) + std::string(room / 2, 'b'));
    f.run_until([&] { return o.budget->used() > 0; });
    f.caller.close();
    f.run_until([&] { return f.server->connections() == 0; });
    CHECK(o.budget->used() == 0);
    CHECK(f.requests.size() == 3);
}

// A body of many megabytes takes long on a narrow link; the time-out used to
// cover all of it.
TEST_CASE("a slow body is read while it makes progress") {
    http::server_options o;
    o.body_timeout = 1000ms;
    fixture f(o);
    constexpr int pieces = 16;
    f.send(head(pieces));
    for (int i = 0; i < pieces; ++i) {
        f.run_for(100ms);
        f.send("b");
    }
    f.run_until([&] { return f.requests.size() == 1; });
    CHECK(f.requests[0].body == std::string(pieces, 'b'));
    CHECK(f.requests[0].body_time >= 1500ms);
    f.answers[0]({200, {}, ""});
    CHECK(f.received().find("200") != std::string::npos);
    f.send(head(pieces) + "b");
    f.run_until([&] { return f.server->connections() == 0; });
    CHECK(f.requests.size() == 1);
}

TEST_CASE("an answer before the end of the request is taken") {
    struct row {
        const char* name;
        bool resets; // the server closes with the body unread
        std::size_t body;
        bool reusable;
    };
    const row rows[] = {
        {"a short body that fits the buffers", false, 1000, true},
        {"a long body that is not read", false, 16'000'000, false},
        {"a long body, and the connection reset", true, 16'000'000, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        const base::endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
        std::optional<tcp::socket> open;
        asio::io_context peer_io;
        std::thread peer([&] {
            open.emplace(peer_io);
            acceptor.accept(*open);
            std::string seen;
            asio::read_until(*open, asio::dynamic_buffer(seen), "\r\n\r\n");
            const auto end = seen.find("\r\n\r\n") + 4;
            if (r.reusable) {
                std::string rest(r.body - (seen.size() - end), '\0');
                asio::read(*open, asio::buffer(rest));
            }
            asio::write(*open, asio::buffer(std::string(
                                   "HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 5\r\n\r\nearly")));
            if (r.resets) {
                open->close();
            }
        });
        http::client_connection c(io);
        std::string got;
        c.connect(at, 1s, [&](const base::result<void>& up) {
            REQUIRE(up.has_value());
            http::request sent;
            sent.method = "POST";
            sent.body = std::string(r.body, 'b');
            c.exchange(std::move(sent), {}, 5s,
                       [&](const base::result<http::response>& a) {
                           got = a ? a.value().body : a.error().text();
                           CHECK(c.reusable() == r.reusable);
                           c.close();
                       });
        });
        io.run();
        peer.join();
        CHECK(got == "early");
    }
}
