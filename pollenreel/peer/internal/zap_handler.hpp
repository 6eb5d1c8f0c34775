// Authenticates the connections of a CURVE listener (ZAP, ZeroMQ RFC 27) and
// counts those that it refuses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace pollenreel::peer::internal {

// Must be used on the single thread of the io_context. Throws zmq::error_t.
class zap_handler {
public:
    zap_handler(boost::asio::io_context& io, zmq::context_t& context,
                const std::string& fleet_public_key);
    zap_handler(const zap_handler&) = delete;
    zap_handler& operator=(const zap_handler&) = delete;
    ~zap_handler();

    // Must be called before `listener` binds.
    void monitor(zmq::socket_t& listener);
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    void wait_readable(boost::asio::posix::stream_descriptor& on,
                       std::function<void()> receive_all);
    void answer_requests();
    void count_failed_handshakes();

    std::string m_fleet_key; // 32 bytes
    zmq::socket_t m_requests;
    zmq::socket_t m_events;
    boost::asio::posix::stream_descriptor m_requests_readable;
    boost::asio::posix::stream_descriptor m_events_readable;
    std::uint64_t m_refused = 0;
};

} // namespace pollenreel::peer::internal
