// A small HTTP/1.1 server for stand-ins whose answers may be streams, which
// the product's own server does not serve.
#pragma once

#include "pollenreel/http/message.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pollenreel::testing {

// One connection. Members are called on the io_context's one thread; calls
// after the peer has gone do nothing.
class platform_session {
public:
    virtual ~platform_session() = default;
    // Answers the request and reads the next.
    virtual void answer(unsigned status, std::string body) = 0;
    // Begins an answer without end; further calls send more of it.
    virtual void stream(std::string bytes) = 0;
    // Gives no answer; the connection ends when the caller gives up.
    virtual void stay_silent() = 0;
    virtual void close() = 0;
    [[nodiscard]] virtual bool gone() const = 0;
};
using session_ptr = std::shared_ptr<platform_session>;
using session_handler = std::function<void(http::request, session_ptr)>;

// Serves one accepted connection until either side closes it.
void serve_connection(boost::asio::ip::tcp::socket socket,
                      session_handler handler);

} // namespace pollenreel::testing
