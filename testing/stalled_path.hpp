// A server on loopback whose path carries nothing until it is restored.
#pragma once

#include "pollenreel/base/endpoint.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace pollenreel::testing {

// Takes one connection and does not read from it: bytes beyond the small
// receive buffer stay unacknowledged in the sender's kernel.
class stalled_path {
public:
    stalled_path() : m_acceptor(m_io), m_socket(m_io) {
        const boost::asio::ip::tcp::endpoint any(
            boost::asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.set_option(
            boost::asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind(any);
        m_acceptor.listen();
        m_acceptor.async_accept(m_socket, [](boost::system::error_code e) {
            REQUIRE_FALSE(e.failed());
        });
    }

    boost::asio::io_context& io() { return m_io; }
    [[nodiscard]] base::endpoint address() const {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    void run_for(std::chrono::milliseconds d) { m_io.run_for(d); }
    [[nodiscard]] std::size_t acknowledged() {
        return m_socket.is_open() ? m_socket.available() : 0;
    }
    void write(const std::string& bytes) {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }
    struct end {
        std::size_t received = 0;
        bool was_reset = false;
    };
    // Reads all that still arrives while the sender goes on.
    end restore() {
        constexpr int most_turns = 200;
        constexpr std::chrono::milliseconds turn{10};
        std::string bytes(65'536, '\0');
        std::size_t received = 0;
        boost::system::error_code e = boost::asio::error::would_block;
        m_socket.non_blocking(true);
        for (int i = 0; i < most_turns && e == boost::asio::error::would_block;
             ++i) {
            run_for(turn);
            do {
                received += m_socket.read_some(boost::asio::buffer(bytes), e);
            } while (!e);
        }
        return {received, e == boost::asio::error::connection_reset};
    }

private:
    boost::asio::io_context m_io{1};
    // Without it a run without work would end before its time.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work{m_io.get_executor()};
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace pollenreel::testing
