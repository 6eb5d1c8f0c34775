#include "pollenreel/peer/transport.hpp"

#include "pollenreel/peer/codec.hpp"
#include "pollenreel/peer/internal/zap_handler.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace pollenreel::peer {

namespace {

// Messages queued for one peer; more are dropped.
constexpr int send_queue_length = 64;
constexpr int receive_queue_length = 10'000;

std::string zmq_address(const base::endpoint& e) {
    return "tcp://" + e.str();
}

} // namespace

class transport::impl {
public:
    impl(boost::asio::io_context& io, base::endpoint listen,
         std::optional<curve_keys> keys, message_handler on_message)
        : m_io(io), m_listen(std::move(listen)), m_keys(std::move(keys)),
          m_on_message(std::move(on_message)),
          m_receiver(m_context, zmq::socket_type::pull), m_readable(io) {}
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl() { stop(); }

    base::result<void> start() {
        try {
            m_receiver.set(zmq::sockopt::linger, 0);
            m_receiver.set(zmq::sockopt::rcvhwm, receive_queue_length);
            m_receiver.set(zmq::sockopt::maxmsgsize,
                           static_cast<std::int64_t>(max_message_bytes));
            if (m_keys) {
                m_zap_handler.emplace(m_io, m_context,
                                      m_keys->fleet_public_key);
                m_zap_handler->monitor(m_receiver);
                m_receiver.set(zmq::sockopt::curve_server, 1);
                m_receiver.set(zmq::sockopt::curve_secretkey,
                               m_keys->secret_key);
            }
            m_receiver.bind(zmq_address(m_listen));
            m_readable.assign(m_receiver.get(zmq::sockopt::fd));
        } catch (const zmq::error_t& e) {
            return base::failure{
                std::error_code(e.num(), std::generic_category()),
                "peer listener " + m_listen.str()};
        }
        m_started = true;
        wait_readable();
        return boost::outcome_v2::success();
    }

    void stop() {
        if (m_started) {
            m_started = false;
            m_readable.release();
        }
    }

    void send(const base::endpoint& to, const message& m) {
        const auto bytes = encode(m);
        const auto sent =
            socket_to(to).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent) {
            ++m_counters.dropped;
            return;
        }
        ++m_counters.messages_sent;
        m_counters.bytes_sent += bytes.size();
    }

    [[nodiscard]] transport_counters counters() const {
        auto c = m_counters;
        c.refused = m_zap_handler ? m_zap_handler->refused() : 0;
        return c;
    }

private:
    struct connection {
        zmq::socket_t socket;
        std::uint64_t last_use = 0; // value of m_send_count at the last send
    };

    zmq::socket_t& socket_to(const base::endpoint& to) {
        auto found = m_connections.find(to);
        if (found == m_connections.end()) {
            close_least_recently_used();
            found = m_connections.emplace(to, connection{connect(to), 0}).first;
        }
        found->second.last_use = ++m_send_count;
        return found->second.socket;
    }

    zmq::socket_t connect(const base::endpoint& to) {
        zmq::socket_t s(m_context, zmq::socket_type::push);
        s.set(zmq::sockopt::linger, 0);
        s.set(zmq::sockopt::sndhwm, send_queue_length);
        if (m_keys) {
            s.set(zmq::sockopt::curve_serverkey, m_keys->fleet_public_key);
            s.set(zmq::sockopt::curve_publickey, m_keys->public_key);
            s.set(zmq::sockopt::curve_secretkey, m_keys->secret_key);
        }
        s.connect(zmq_address(to));
        return s;
    }

    void close_least_recently_used() {
        if (m_connections.size() >= max_connections) {
            m_connections.erase(std::min_element(
                m_connections.begin(), m_connections.end(),
                [](const auto& a, const auto& b) {
                    return a.second.last_use < b.second.last_use;
                }));
        }
    }

    // ZeroMQ's descriptor is edge-triggered: after it fires, all messages that
    // have arrived must be received before waiting again.
    void wait_readable() {
        m_readable.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [this](const boost::system::error_code& e) {
                                  if (!e && m_started) {
                                      receive_all();
                                  }
                              });
    }

    void receive_all() {
        zmq::message_t frame;
        while (m_started && m_receiver.recv(frame, zmq::recv_flags::dontwait)) {
            on_frame(frame.to_string_view());
        }
        if (m_started) {
            wait_readable();
        }
    }

    void on_frame(std::string_view bytes) {
        m_counters.bytes_received += bytes.size();
        auto m = decode(bytes);
        if (!m) {
            ++m_counters.malformed;
            return;
        }
        ++m_counters.messages_received;
        m_on_message(std::move(*m));
    }

    boost::asio::io_context& m_io;
    base::endpoint m_listen;
    std::optional<curve_keys> m_keys;
    message_handler m_on_message;
    zmq::context_t m_context;
    std::optional<internal::zap_handler> m_zap_handler;
    zmq::socket_t m_receiver;
    boost::asio::posix::stream_descriptor m_readable;
    std::map<base::endpoint, connection> m_connections;
    std::uint64_t m_send_count = 0;
    transport_counters m_counters;
    bool m_started = false;
};

transport::transport(boost::asio::io_context& io, const base::endpoint& listen,
                     std::optional<curve_keys> keys, message_handler on_message)
    : m_impl(std::make_unique<impl>(io, listen, std::move(keys),
                                    std::move(on_message))) {}

transport::~transport() = default;

base::result<void> transport::start() {
    return m_impl->start();
}

void transport::send(const base::endpoint& to, const message& m) {
    m_impl->send(to, m);
}

void transport::stop() {
    m_impl->stop();
}

transport_counters transport::counters() const {
    return m_impl->counters();
}

} // namespace pollenreel::peer
