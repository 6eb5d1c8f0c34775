// Responses whose bytes do not end until the client closes the connection.
#include "pollenreel/http/client_connection.hpp"
#include "pollenreel/http/client_stream.hpp"
#include "pollenreel/http/error.hpp"
#include "pollenreel/http/internal/body_memory.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace pollenreel;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Writes `head` on each connection and then `body` again and again.
class endless_server {
public:
    endless_server(asio::io_context& io, std::string head, std::string body)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
          m_head(std::move(head)), m_body(std::move(body)) {
        accept();
    }
    [[nodiscard]] base::endpoint at() const {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    void accept() {
        auto socket = std::make_shared<tcp::socket>(m_acceptor.get_executor());
        m_acceptor.async_accept(*socket, [this, socket](const auto& e) {
            if (!e) {
                write(socket, m_head);
                accept();
            }
        });
    }
    void write(const socket_ptr& socket, const std::string& text) {
        asio::async_write(*socket, asio::buffer(text),
                          [this, socket](const auto& e, std::size_t) {
                              if (!e) {
                                  write(socket, m_body);
                              }
                          });
    }

    tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_body;
};

// Connects, sends a request and returns how the exchange ended.
class exchange {
public:
    exchange(asio::io_context& io, const base::endpoint& to,
             const http::limits& l,
             std::shared_ptr<http::receive_budget> budget)
        : m_connection(io) {
        http::answer_terms terms;
        terms.allow_close_delimited = true;
        terms.matches = [](const auto& r) { return r.status >= 200; };
        terms.budget = std::move(budget);
        m_connection.connect(to, 5s, [this, l, terms](const auto& up) {
            REQUIRE(up.has_value());
            m_connection.exchange(
                {}, l, 60s, [this](auto r) { result = std::move(r); }, terms);
        });
    }
    std::optional<base::result<http::response>> result;

private:
    http::client_connection m_connection;
};

} // namespace

// A faulty target sent bytes without end, and the instance kept all of them.
TEST_CASE("a response without end is cut off") {
    struct row {
        const char* name;
        const char* head;
        std::string body;
        http::error expected;
    };
    const std::string bytes(16'384, 'x');
    const row rows[] = {
        {"bytes that are no head", "", bytes, http::error::malformed_message},
        {"a head with endless fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n",
         http::error::too_large},
        {"a field without end", "HTTP/1.1 200 OK\r\nA: ", bytes,
         http::error::too_large},
        {"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n",
         bytes, http::error::too_large},
        {"a body with a length beyond the limit",
         "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", bytes,
         http::error::too_large},
        {"a body in chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
         "chunked\r\n\r\n",
         "400\r\n" + std::string(1024, 'x') + "\r\n", http::error::too_large},
        {"a chunk extension without end",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", bytes,
         http::error::too_large},
        {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
         http::error::malformed_message},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        const endless_server server(io, r.head, r.body);
        exchange e(io, server.at(), {8 * 1024, 1024ULL * 1024}, nullptr);
        while (!e.result) {
            REQUIRE(io.run_one() > 0);
        }
        REQUIRE_FALSE(e.result->has_value());
        CHECK(e.result->error().code == http::make_error_code(r.expected));
    }
}

// The bytes between two chunks of a watch were kept without bound.
TEST_CASE("a stream of bytes without end is cut off outside of its body") {
    struct row {
        const char* name;
        const char* head;
    };
    const row rows[] = {
        {"a field without end", "HTTP/1.1 200 OK\r\nA: "},
        {"a chunk extension without end",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        asio::io_context io;
        const endless_server server(io, r.head, std::string(16'384, 'x'));
        http::client_stream stream(io);
        std::optional<base::failure> ended;
        stream.open(server.at(), {}, 5s,
                    {[](std::string_view) {},
                     [&](const base::failure& f) { ended = f; }});
        for (int i = 0; i < 10'000 && !ended; ++i) {
            REQUIRE(io.run_one() > 0);
        }
        CHECK(ended.has_value());
    }
}

// A body of unknown length counted by its size, while the string that held it
// took two to three times as much.
TEST_CASE("a growing body counts with all the memory that it takes") {
    constexpr std::size_t limit = 1'048'576;
    const std::string step(10'000, 'x');
    const auto budget = std::make_shared<http::receive_budget>(limit);
    http::internal::body_memory memory(budget);
    std::string body;
    std::size_t most = 0;
    while (memory.make_room(body, step.size())) {
        body += step;
        REQUIRE(memory.count(body, false));
        CHECK(budget->used() >= body.capacity());
        most = std::max(most, body.capacity());
    }
    CHECK(most <= limit);
    CHECK(body.size() > limit / 3); // with a copy of it that is a little larger
    CHECK(body.capacity() <= body.size() * 2);
    memory.release();
    CHECK(budget->used() == 0);
}

TEST_CASE("many responses without end stay within one budget of memory") {
    constexpr std::size_t limit = 1'048'576;
    constexpr std::size_t count = 16;
    asio::io_context io;
    const endless_server endless(io, "HTTP/1.1 200 OK\r\n\r\n",
                                 std::string(16'384, 'x'));
    const endless_server small(
        io, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n",
        std::string(1000, 'x'));
    const auto budget = std::make_shared<http::receive_budget>(limit);
    const http::limits large{8 * 1024, 64ULL * 1024 * 1024};
    std::vector<std::unique_ptr<exchange>> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(
            std::make_unique<exchange>(io, endless.at(), large, budget));
    }
    exchange other(io, small.at(), large, budget);
    std::size_t most = 0;
    const auto ended = [](const auto& e) { return e->result.has_value(); };
    while (!other.result || !std::all_of(all.begin(), all.end(), ended)) {
        REQUIRE(io.run_one() > 0);
        most = std::max(most, budget->used());
    }
    for (const auto& e : all) {
        REQUIRE_FALSE(e->result->has_value());
        CHECK(e->result->error().code ==
              http::make_error_code(http::error::too_large));
    }
    CHECK(other.result->has_value());
    // Each may have had one read of at most 64 KB beyond it, and what is
    // always allowed.
    CHECK(most <= limit + count * 128 * 1024);
    CHECK(budget->used() == 0);
}
