// Decides which connections of a CURVE listener are let in (ZAP; RFC 27 of
// ZeroMQ), and counts those that are not.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace pollenreel::peer::internal {

// Runs on the io_context's one thread. Throws zmq::error_t.
class gatekeeper {
public:
    gatekeeper(boost::asio::io_context& io, zmq::context_t& context,
               const std::string& fleet_public_key);
    gatekeeper(const gatekeeper&) = delete;
    gatekeeper& operator=(const gatekeeper&) = delete;
    ~gatekeeper();

    // To be called before `listener` binds.
    void watch(zmq::socket_t& listener);
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    void wait(boost::asio::posix::stream_descriptor& on,
              std::function<void()> take_all);
    void judge_all();
    void count_failed_handshakes();

    std::string m_fleet_key; // 32 bytes
    zmq::socket_t m_judge;
    zmq::socket_t m_events;
    boost::asio::posix::stream_descriptor m_judge_readable;
    boost::asio::posix::stream_descriptor m_events_readable;
    std::uint64_t m_refused = 0;
};

} // namespace pollenreel::peer::internal
