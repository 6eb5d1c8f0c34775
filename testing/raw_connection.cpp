#include "testing/raw_connection.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace pollenreel::testing {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

} // namespace

class raw_connection::state : public std::enable_shared_from_this<state> {
public:
    explicit state(asio::io_context& io) : m_socket(io), m_timer(io) {}

    void connect(const base::endpoint& to, std::chrono::milliseconds timeout,
                 connected done) {
        m_connected = std::move(done);
        start_timer(timeout);
        m_socket.async_connect({asio::ip::make_address_v4(to.host), to.port},
                               [self = shared_from_this()](error_code e) {
                                   self->on_connect(!e);
                               });
    }

    void exchange(std::string request, std::string method,
                  std::chrono::milliseconds timeout, answered done) {
        m_answered = std::move(done);
        m_request = std::move(request);
        m_method = std::move(method);
        m_received.clear();
        m_reusable = false;
        m_writing = true;
        m_write_failed = false;
        start_timer(timeout);
        asio::async_write(
            m_socket, asio::buffer(m_request),
            [self = shared_from_this()](error_code e, std::size_t) {
                self->m_writing = false;
                // The next read may not report it again.
                self->m_write_failed = e.failed();
            });
        read();
    }

    [[nodiscard]] bool reusable() {
        if (!m_reusable || !m_socket.is_open()) {
            return false;
        }
        error_code e;
        char next = 0;
        m_socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, e);
        return e == asio::error::would_block;
    }

    void close() {
        m_connected = nullptr;
        error_code ignored;
        if (std::exchange(m_answered, nullptr)) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        m_timer.cancel();
        m_socket.close(ignored);
    }

private:
    void start_timer(std::chrono::milliseconds t) {
        m_timer.expires_after(t);
        m_timer.async_wait([self = shared_from_this()](error_code e) {
            // A timer that was set again may have expired before.
            if (e ||
                self->m_timer.expiry() > std::chrono::steady_clock::now()) {
                return;
            }
            if (self->m_connected) {
                return self->on_connect(false);
            }
            self->finish(unfinished_response{});
        });
    }

    void on_connect(bool up) {
        const auto done = std::exchange(m_connected, nullptr);
        m_timer.cancel();
        if (up) {
            error_code ignored;
            m_socket.set_option(tcp::no_delay(true), ignored);
            m_socket.non_blocking(true, ignored);
        }
        if (done) {
            done(up);
        }
    }

    void read() {
        m_socket.async_read_some(
            asio::buffer(m_bytes),
            [self = shared_from_this()](error_code e, std::size_t n) {
                self->on_read(e, n);
            });
    }

    void on_read(error_code e, std::size_t n) {
        if (!m_answered) {
            return;
        }
        m_received.append(m_bytes.data(), n);
        const auto stream = !e ? stream_state::open
                            : e == asio::error::eof && !m_write_failed
                                ? stream_state::closed
                                : stream_state::reset;
        auto r = read_response(m_received, m_method, stream);
        if (std::holds_alternative<unfinished_response>(r) && !e) {
            return read();
        }
        if (const auto* whole = std::get_if<whole_response>(&r)) {
            m_reusable = !e && !m_writing && whole->size == m_received.size() &&
                         !boost::iequals(whole->field("Connection"), "close");
        }
        finish(r);
    }

    void finish(const response_reading& r) {
        m_timer.cancel();
        if (const auto done = std::exchange(m_answered, nullptr)) {
            done(r);
        }
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    connected m_connected;
    answered m_answered; // while a response is owed
    std::string m_request;
    std::string m_method;
    std::string m_received;
    std::array<char, 16'384> m_bytes{};
    bool m_writing = false;
    bool m_write_failed = false;
    bool m_reusable = false;
};

raw_connection::raw_connection(asio::io_context& io)
    : m_state(std::make_shared<state>(io)) {}

raw_connection::~raw_connection() {
    m_state->close();
}

void raw_connection::connect(const base::endpoint& to,
                             std::chrono::milliseconds timeout,
                             connected done) {
    m_state->connect(to, timeout, std::move(done));
}

void raw_connection::exchange(std::string request, std::string method,
                              std::chrono::milliseconds timeout,
                              answered done) {
    m_state->exchange(std::move(request), std::move(method), timeout,
                      std::move(done));
}

bool raw_connection::reusable() const {
    return m_state->reusable();
}

void raw_connection::close() {
    m_state->close();
}

void raw_client::call(const base::endpoint& to, std::string request,
                      std::string method, std::chrono::milliseconds timeout,
                      raw_connection::answered done) {
    const auto c = m_open.emplace(m_open.end(), m_io);
    c->connect(to, timeout,
               [this, c, timeout, request = std::move(request),
                method = std::move(method), done = std::move(done)](bool up) {
                   if (!up) {
                       m_open.erase(c);
                       return done(unfinished_response{});
                   }
                   c->exchange(request, method, timeout,
                               [this, c, done](const response_reading& r) {
                                   m_open.erase(c);
                                   done(r);
                               });
               });
}

} // namespace pollenreel::testing
