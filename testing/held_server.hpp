// An HTTP server whose responses the test gives, and the client end of one
// connection to it, on one thread.
#pragma once

#include "pollenreel/http/server.hpp"
#include "testing/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::testing {

class held_server {
public:
    explicit held_server(http::server_options o = {}) {
        o.listen = free_endpoint();
        m_server.emplace(m_io, o, [this](http::request r, http::responder a) {
            r.headers.clear();
            paths.push_back(r.path);
            a.on_gone([this] { ++gone; });
            answers.push_back(std::move(a));
        });
        REQUIRE(m_server->start().has_value());
        m_at = o.listen;
        caller = connect();
        caller.non_blocking(true);
    }

    boost::asio::ip::tcp::socket connect() {
        boost::asio::ip::tcp::socket s(m_io);
        s.connect({boost::asio::ip::make_address_v4(m_at.host), m_at.port});
        return s;
    }
    // Runs what is ready by now.
    void settle() {
        while (m_io.poll_one() > 0) {
        }
    }
    void send(const std::string& bytes) {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }
    template <class Condition>
    void run_until(Condition reached) {
        for (int i = 0; i < 1000 && !reached(); ++i) {
            m_io.run_one_for(std::chrono::milliseconds(10));
        }
        REQUIRE(reached());
    }
    // All that came so far.
    std::string received() {
        std::string bytes(65'536, '\0');
        boost::system::error_code e;
        const auto got = caller.receive(boost::asio::buffer(bytes), 0, e);
        return bytes.substr(0, got);
    }
    std::string receive(std::size_t answers_expected) {
        std::string all;
        run_until([&] {
            all += received();
            std::size_t count = 0;
            for (auto at = all.find("HTTP/1.1 "); at != std::string::npos;
                 at = all.find("HTTP/1.1 ", at + 1)) {
                ++count;
            }
            return count >= answers_expected;
        });
        return all;
    }
    http::server& server() { return *m_server; }

    std::vector<std::string> paths;
    std::vector<http::responder> answers;
    int gone = 0;

private:
    boost::asio::io_context m_io;
    base::endpoint m_at;
    std::optional<http::server> m_server;

public:
    boost::asio::ip::tcp::socket caller{m_io};
};

} // namespace pollenreel::testing
