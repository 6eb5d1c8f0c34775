// An HTTP/1.1 server on one io_context. Each request goes to a handler, which
// answers through a responder now or later, on the same thread. A request that
// is malformed or over a limit is answered by the server itself and never
// reaches the handler.
//
//   http::server s(io, options, [](http::request r, http::responder answer) {
//       answer({200, {}, "hello"});
//   });
//   if (auto up = s.start(); !up) ...
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"
#include "pollenreel/http/receive_budget.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pollenreel::http {

// Answers one request; to be called once, on the server's thread. A call after
// the caller has left does nothing.
class responder {
public:
    // The server's side.
    class waiting {
    public:
        waiting() = default;
        waiting(const waiting&) = delete;
        waiting& operator=(const waiting&) = delete;
        virtual ~waiting() = default;
        virtual void answer(response r) = 0;
        virtual void abort(std::string bytes) = 0;
        virtual void flood(std::string head, std::string bytes) = 0;
        [[nodiscard]] virtual bool has_caller_left() const = 0;
        virtual void watch(std::function<void()> notify) = 0;
    };

    explicit responder(std::weak_ptr<waiting> to);
    void operator()(response r) const;
    // Sends `bytes` as they are and closes the connection: for stand-ins that
    // misbehave on purpose.
    void abort(std::string bytes) const;
    // Sends `head` and then `bytes` again and again until the caller closes:
    // for stand-ins as well.
    void flood(std::string head, std::string bytes) const;
    // `notify` is called at most once, when the caller closes its connection
    // or its sending side before it is answered.
    void on_gone(std::function<void()> notify) const;
    // Whether the caller has closed its connection or its sending side, even if
    // `on_gone` has yet to tell; true also once it is answered.
    [[nodiscard]] bool has_caller_left() const;

private:
    std::weak_ptr<waiting> m_to;
};
using handler = std::function<void(request, responder)>;
// Decides on a request with a body once its header has been read. A response
// is sent in place of the handler's, without reading the body, and closes the
// connection.
using header_filter = std::function<std::optional<response>(const request&)>;

struct server_options {
    base::endpoint listen;
    http::limits limits;
    // Beyond it, a new connection takes the place of the one that has been
    // idle longest, or is refused.
    std::size_t max_connections = 10'000;
    // Requests of one connection that may be under way at once; their answers
    // go out in the order of the requests.
    std::size_t max_pipelined = 1;
    std::chrono::milliseconds idle_timeout{60'000}; // between requests
    // From the first byte of a request to the end of its header.
    std::chrono::milliseconds header_timeout{10'000};
    // Without any byte of a body.
    std::chrono::milliseconds body_timeout{10'000};
    std::chrono::milliseconds write_timeout{30'000}; // of one answer
    bool share_port = false; // several threads listen on one port
    // Headers put on answers to requests that are refused as malformed.
    headers refusal_headers;
    // Empty: all bodies are read.
    http::header_filter header_filter;
    // Bounds the memory of bodies, from their first byte to the answer; null:
    // no bound. What does not fit is answered with 503.
    std::shared_ptr<receive_budget> budget;
};

struct server_counters {
    std::uint64_t accepted = 0;
    std::uint64_t refused_connections = 0; // over max_connections
    std::uint64_t idle_closed = 0;         // to make room for new ones
    std::uint64_t malformed = 0;           // bad or too large messages
};

// All members and handlers run on the io_context's one thread.
class server {
public:
    server(boost::asio::io_context& io, server_options options, handler h);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    // Fails with cannot_listen.
    [[nodiscard]] base::result<void> start();
    // Still takes new connections, but closes idle ones, and each connection
    // after the answers that it is owed.
    void drain();
    // The same, and takes no new connections.
    void stop();
    // For requests read from now on.
    void set_limits(const http::limits& l,
                    std::chrono::milliseconds header_timeout,
                    std::chrono::milliseconds idle_timeout);
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] const server_counters& counters() const;

private:
    class listener;
    std::shared_ptr<listener> m_listener;
};

} // namespace pollenreel::http
