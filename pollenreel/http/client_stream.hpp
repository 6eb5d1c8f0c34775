// One HTTP request whose answer does not end: its body is delivered as it
// comes. For watches.
//
//   http::client_stream s(io);
//   s.open(endpoint, request, 1s, {on_bytes, on_end});
#pragma once

#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace pollenreel::http {

// All members and callbacks run on the io_context's one thread. No callback
// is called after close() or after `ended`.
class client_stream {
public:
    struct callbacks {
        std::function<void(std::string_view)> received;
        std::function<void(const base::failure&)> ended;
    };

    explicit client_stream(boost::asio::io_context& io);
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;
    ~client_stream();

    // To be called once. `timeout` covers connecting and the answer's header
    // separately; the body may be silent for ever, so a dead connection must
    // be noticed by other means. Ends with the errors of client_connection,
    // and with malformed_message for any status but 200.
    void open(const base::endpoint& to, const request& r,
              std::chrono::milliseconds timeout, callbacks on);
    void close();

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace pollenreel::http
