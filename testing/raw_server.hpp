// A server on loopback that answers with bytes as they are, for tests of what
// the product takes for a response.
//
//   testing::raw_server s([](const std::string& head) {
//       return testing::raw_reply{"HTTP/1.1 000 \r\n\r\n"};
//   });
#pragma once

#include "pollenreel/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenreel::testing {

// What the server does with the connection after its bytes.
enum class after_reply {
    keeps,       // reads the next request
    closes,      // in order
    half_closes, // ends its own side and reads until the other one ends
    resets,
};

struct raw_reply {
    std::string bytes;
    after_reply then = after_reply::closes;
    // Sent without waiting for the request's body.
    bool is_early = false;
    // Between the bytes and what follows.
    std::chrono::milliseconds pause{0};
    // Sent after the bytes, each of them `part_gap` after the one before.
    std::vector<std::string> parts{};
    std::chrono::milliseconds part_gap{0};
};

// Each connection has a thread of its own, which calls the script.
class raw_server {
public:
    // Receives the head of a request, with the empty line.
    using script = std::function<raw_reply(const std::string& head)>;

    explicit raw_server(script s);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server();

    [[nodiscard]] base::endpoint at() const;
    // Connections that it has accepted.
    [[nodiscard]] int connections() const { return m_accepted; }

private:
    using socket = boost::asio::ip::tcp::socket;

    void run();
    void serve(socket& s);
    // False once the connection is to end.
    bool serve_one(socket& s, std::string& unread);
    void close(socket& s);

    script m_script;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_ends{false};
    std::atomic<int> m_accepted{0};
    std::mutex m_closing; // a socket is closed while others are shut down
    std::list<socket> m_sockets;
    std::list<std::thread> m_threads;
    std::thread m_acceptor_thread;
};

// The value of the first field called `name` (as spelled) in a head, or "".
[[nodiscard]] std::string field_in(const std::string& head,
                                   const std::string& name);

} // namespace pollenreel::testing
