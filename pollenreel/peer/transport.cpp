#include "pollenreel/peer/transport.hpp"

#include "pollenreel/peer/codec.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <map>

namespace pollenreel::peer {

namespace {

// Messages that wait for one peer before more are dropped.
constexpr int send_queue_length = 64;
constexpr int receive_queue_length = 10'000;

std::string zmq_address(const base::endpoint& e) {
    return "tcp://" + e.str();
}

} // namespace

class transport::sockets {
public:
    sockets(boost::asio::io_context& io, base::endpoint listen,
            received on_message)
        : m_listen(std::move(listen)), m_on_message(std::move(on_message)),
          m_receiver(m_context, zmq::socket_type::pull), m_readable(io) {}
    sockets(const sockets&) = delete;
    sockets& operator=(const sockets&) = delete;
    ~sockets() { stop(); }

    base::result<void> start() {
        try {
            m_receiver.set(zmq::sockopt::linger, 0);
            m_receiver.set(zmq::sockopt::rcvhwm, receive_queue_length);
            m_receiver.set(zmq::sockopt::maxmsgsize,
                           static_cast<std::int64_t>(most_message_bytes));
            m_receiver.bind(zmq_address(m_listen));
            m_readable.assign(m_receiver.get(zmq::sockopt::fd));
        } catch (const zmq::error_t& e) {
            return base::failure{
                std::error_code(e.num(), std::generic_category()),
                "peer listener " + m_listen.str()};
        }
        m_started = true;
        wait();
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
            sender(to).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent) {
            ++m_counters.dropped;
            return;
        }
        ++m_counters.messages_sent;
        m_counters.bytes_sent += bytes.size();
    }

    [[nodiscard]] const transport_counters& counters() const {
        return m_counters;
    }

private:
    zmq::socket_t& sender(const base::endpoint& to) {
        auto found = m_senders.find(to);
        if (found == m_senders.end()) {
            zmq::socket_t s(m_context, zmq::socket_type::push);
            s.set(zmq::sockopt::linger, 0);
            s.set(zmq::sockopt::sndhwm, send_queue_length);
            s.connect(zmq_address(to));
            found = m_senders.emplace(to, std::move(s)).first;
        }
        return found->second;
    }

    // ZeroMQ's descriptor is edge-triggered: after it fires, everything that
    // has arrived is to be taken before waiting again.
    void wait() {
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
            deliver(frame.to_string_view());
        }
        if (m_started) {
            wait();
        }
    }

    void deliver(std::string_view bytes) {
        m_counters.bytes_received += bytes.size();
        auto m = decode(bytes);
        if (!m) {
            ++m_counters.malformed;
            return;
        }
        ++m_counters.messages_received;
        m_on_message(std::move(*m));
    }

    base::endpoint m_listen;
    received m_on_message;
    zmq::context_t m_context;
    zmq::socket_t m_receiver;
    boost::asio::posix::stream_descriptor m_readable;
    std::map<base::endpoint, zmq::socket_t> m_senders;
    transport_counters m_counters;
    bool m_started = false;
};

transport::transport(boost::asio::io_context& io, const base::endpoint& listen,
                     received on_message)
    : m_sockets(std::make_unique<sockets>(io, listen, std::move(on_message))) {}

transport::~transport() = default;

base::result<void> transport::start() {
    return m_sockets->start();
}

void transport::send(const base::endpoint& to, const message& m) {
    m_sockets->send(to, m);
}

void transport::stop() {
    m_sockets->stop();
}

const transport_counters& transport::counters() const {
    return m_sockets->counters();
}

} // namespace pollenreel::peer
