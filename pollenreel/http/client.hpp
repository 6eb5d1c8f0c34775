// Calls HTTP servers for control traffic: the platform, operators' tools,
// tests. Keeps idle connections for reuse, until a call on one times out.
//
//   http::client c(io);
//   c.call(endpoint, {"GET", "/status"}, 1s, [](auto answer) { ... });
#pragma once

#include "pollenreel/http/client_connection.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pollenreel::http {

// All members and callbacks run on the io_context's one thread; callbacks are
// not called after the client is destroyed.
class client {
public:
    // `connect_timeout`: where connecting has a shorter time-out than the
    // exchange.
    explicit client(
        boost::asio::io_context& io, limits l = {},
        std::optional<std::chrono::milliseconds> connect_timeout = {});
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    // Closes the connections of calls that are not answered, so that no request
    // is delivered later.
    ~client();

    // Connects or reuses a connection, sends `r` and delivers the answer.
    // `timeout` covers connecting and the exchange separately. Fails as
    // client_connection does; only a failure of `connect_failed` says that
    // the request was not received.
    void call(const base::endpoint& to, request r,
              std::chrono::milliseconds timeout,
              client_connection::answered done, answer_terms terms = {});

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    void exchange(const base::endpoint& to, const connection_ptr& on,
                  const request& r, std::chrono::milliseconds timeout,
                  client_connection::answered done, answer_terms terms);

    boost::asio::io_context* m_io;
    limits m_limits;
    std::optional<std::chrono::milliseconds> m_connect_timeout;
    std::map<base::endpoint, std::vector<connection_ptr>> m_idle;
    // Idle or in use; those that have ended are removed as others are opened.
    std::vector<std::weak_ptr<client_connection>> m_open;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// One call from a program that has nothing else to do: runs its own
// io_context until the answer or failure.
[[nodiscard]] base::result<response>
call_and_wait(const base::endpoint& to, const request& r,
              std::chrono::milliseconds timeout, const limits& l = {});

} // namespace pollenreel::http
