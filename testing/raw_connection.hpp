// One connection of a caller on an io_context, which reads responses with
// response_reader. For callers that must not share the product's reader.
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "testing/response_reader.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace pollenreel::testing {

// All members and callbacks run on the io_context's one thread. Callbacks are
// not called after close().
class raw_connection {
public:
    using connected = std::function<void(bool)>;
    // Receives what came until there was a whole response, until the bytes
    // could be none, or until the connection ended or the time was up.
    using answered = std::function<void(const response_reading&)>;

    explicit raw_connection(boost::asio::io_context& io);
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection();

    void connect(const base::endpoint& to, std::chrono::milliseconds timeout,
                 connected done);
    // Sends a whole request of that method, one at a time.
    void exchange(std::string request, std::string method,
                  std::chrono::milliseconds timeout, answered done);
    // Whether the last response left the connection open, and nothing has come
    // since.
    [[nodiscard]] bool reusable() const;
    // Resets the connection if a response is owed.
    void close();

private:
    class state;
    std::shared_ptr<state> m_state;
};

// Makes each call on a connection of its own. Thread rules as above; callbacks
// are not called after its end.
class raw_client {
public:
    explicit raw_client(boost::asio::io_context& io) : m_io(io) {}
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client() = default;

    // `done` receives unfinished_response also if there is no connection.
    void call(const base::endpoint& to, std::string request, std::string method,
              std::chrono::milliseconds timeout, raw_connection::answered done);

private:
    boost::asio::io_context& m_io;
    std::list<raw_connection> m_open;
};

} // namespace pollenreel::testing
