// One HTTP/1.1 connection to a server, with one request on it at a time: no
// pipelining, and no reuse while an answer is owed. An answer is delivered
// only when it is whole.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"
#include "pollenreel/http/receive_budget.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace pollenreel::http {

// Bounds the time that a body takes to arrive, beside its answer's time-out.
struct body_time_limits {
    std::chrono::milliseconds stalled{}; // without any byte of it
    std::chrono::milliseconds total{};
};

// Which answers an exchange takes.
struct answer_terms {
    // Takes a body that ends with the connection, if the server closed it in
    // order.
    bool allow_close_delimited = false;
    // False for an answer to some other request. It is dropped, the next one
    // is awaited, and the connection is not used again. Empty: all match.
    std::function<bool(const response&)> matches;
    // Shared by all exchanges whose memory it bounds; null: no bound.
    std::shared_ptr<receive_budget> budget;
    // The owner calls is_stalled() a few times a second during the exchange;
    // the kernel then probes the path only while all bytes are acknowledged.
    bool owner_checks_path = false;
    // If set, the time-out of the exchange ends with the answer's header: a
    // body that keeps coming is not thrown away to be asked for again.
    std::optional<body_time_limits> body_time{};
    // Called after the header and for each part of a body but the last. May be
    // empty.
    std::function<void()> on_progress{};
};

// Of a request whose answer is owed; zero if none is.
struct unanswered_bytes {
    std::uint64_t handed_over = 0; // to the kernel
    // Of these; a reset drops them, unless they are on their way already.
    std::uint64_t unacknowledged = 0;
};

// All members and callbacks run on the io_context's one thread. Callbacks are
// not called after close().
class client_connection {
public:
    using connected = std::function<void(base::result<void>)>;
    using answered = std::function<void(base::result<response>)>;

    explicit client_connection(boost::asio::io_context& io);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    // Fails with connect_failed or timed_out.
    void connect(const base::endpoint& to, std::chrono::milliseconds timeout,
                 connected done);
    // Fails with timed_out, connection_lost, incomplete_message,
    // malformed_message, too_large; the request may then have been received.
    // An answer that comes before the request is sent whole ends the exchange;
    // the rest is not sent and the connection not reusable.
    void exchange(request r, const limits& l, std::chrono::milliseconds timeout,
                  answered done, answer_terms terms = {});
    // Whether another exchange may start: the last answer was whole, nothing
    // came after it, and the server has neither closed nor sent anything since.
    [[nodiscard]] bool reusable() const;
    // Resets the connection if an answer is owed, so that what the server has
    // not acknowledged of the request is never delivered. Otherwise in order.
    void close();
    // As close(), for an answer that was whole but to another request.
    void reset();
    // Of the present exchange; nullopt if the connection is gone.
    [[nodiscard]] std::optional<unanswered_bytes> unanswered() const;
    // Whether the server has acknowledged nothing more of the request for so
    // long that the path must be taken for broken. The owner then closes the
    // connection: one that the kernel gives up is not reset, so that a path
    // which holds the bytes may still deliver them.
    [[nodiscard]] bool is_stalled(base::time_point now);
    // Whether an answer is owed and part of it was read or can be read.
    [[nodiscard]] bool answer_begun() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pollenreel::http
