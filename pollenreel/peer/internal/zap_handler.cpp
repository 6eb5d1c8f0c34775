#include "pollenreel/peer/internal/zap_handler.hpp"

#include <zmq_addon.hpp>

#include <array>
#include <cstring>
#include <iterator>
#include <vector>

namespace pollenreel::peer::internal {

namespace {

constexpr std::size_t key_bytes = 32;
// Frames of a ZAP request: version, id, domain, address, identity, mechanism,
// credentials.
constexpr std::size_t request_frames = 7;
constexpr std::size_t id_frame = 1;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t credentials_frame = 6;
constexpr const char* zap_address = "inproc://zeromq.zap.01";
constexpr const char* events_address = "inproc://peer-listener-events";
constexpr int failure_events = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

std::string decode_key(const std::string& text) {
    std::array<std::uint8_t, key_bytes> key{};
    if (::zmq_z85_decode(key.data(), text.c_str()) == nullptr) {
        throw zmq::error_t();
    }
    return {key.begin(), key.end()};
}

} // namespace

zap_handler::zap_handler(boost::asio::io_context& io, zmq::context_t& context,
                         const std::string& fleet_public_key)
    : m_fleet_key(decode_key(fleet_public_key)),
      m_requests(context, zmq::socket_type::rep),
      m_events(context, zmq::socket_type::pair), m_requests_readable(io),
      m_events_readable(io) {
    m_requests.set(zmq::sockopt::linger, 0);
    m_events.set(zmq::sockopt::linger, 0);
    m_requests.bind(zap_address);
    m_requests_readable.assign(m_requests.get(zmq::sockopt::fd));
    wait_readable(m_requests_readable, [this] { answer_requests(); });
}

zap_handler::~zap_handler() {
    m_requests_readable.release();
    if (m_events_readable.is_open()) {
        m_events_readable.release();
    }
}

void zap_handler::monitor(zmq::socket_t& listener) {
    if (::zmq_socket_monitor(listener.handle(), events_address,
                             failure_events) != 0) {
        throw zmq::error_t();
    }
    m_events.connect(events_address);
    m_events_readable.assign(m_events.get(zmq::sockopt::fd));
    wait_readable(m_events_readable, [this] { count_failed_handshakes(); });
}

void zap_handler::wait_readable(boost::asio::posix::stream_descriptor& on,
                                std::function<void()> receive_all) {
    receive_all(); // the descriptor signals only later arrivals
    on.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                  [this, &on, receive_all = std::move(receive_all)](
                      const boost::system::error_code& e) mutable {
                      if (!e) {
                          wait_readable(on, std::move(receive_all));
                      }
                  });
}

void zap_handler::answer_requests() {
    std::vector<zmq::message_t> request;
    while (zmq::recv_multipart(m_requests, std::back_inserter(request),
                               zmq::recv_flags::dontwait)) {
        const bool authorized =
            request.size() == request_frames &&
            request[mechanism_frame].to_string_view() == "CURVE" &&
            request[credentials_frame].to_string_view() == m_fleet_key;
        const std::string id =
            request.size() > id_frame ? request[id_frame].to_string() : "";
        const std::array<zmq::const_buffer, 6> answer = {
            zmq::buffer("1.0", 3),
            zmq::buffer(id),
            zmq::buffer(authorized ? "200" : "400", 3),
            zmq::buffer("", 0),
            zmq::buffer("", 0),
            zmq::buffer("", 0)};
        (void)zmq::send_multipart(m_requests, answer);
        request.clear();
    }
}

void zap_handler::count_failed_handshakes() {
    std::vector<zmq::message_t> event;
    while (zmq::recv_multipart(m_events, std::back_inserter(event),
                               zmq::recv_flags::dontwait)) {
        ++m_refused; // only failed handshakes are monitored
        event.clear();
    }
}

} // namespace pollenreel::peer::internal
