#include "pollenreel/http/server.hpp"

#include "pollenreel/http/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <unordered_set>

namespace pollenreel::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
// How long a refused caller may go on sending before it is cut off.
constexpr std::chrono::milliseconds refusal_linger{1000};
constexpr std::size_t discarded_at_once = 4096; // bytes

using share_port_option =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

request to_request(bhttp::request<bhttp::string_body>&& from,
                   std::uint32_t caller) {
    request r;
    r.method = std::string(from.method_string());
    r.path = std::string(from.target());
    for (const auto& field : from) {
        r.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    r.body = std::move(from.body());
    r.caller_address = caller;
    return r;
}

unsigned status_of(beast::error_code e) {
    if (e == bhttp::error::body_limit) {
        return 413;
    }
    if (e == bhttp::error::header_limit || e == bhttp::error::buffer_overflow) {
        return 431;
    }
    return 400;
}

} // namespace

class responder::waiting {
public:
    waiting() = default;
    waiting(const waiting&) = delete;
    waiting& operator=(const waiting&) = delete;
    virtual ~waiting() = default;
    virtual void answer(response r) = 0;
    virtual void abort(std::string bytes) = 0;
    virtual void watch(std::function<void()> notify) = 0;
};

responder::responder(std::weak_ptr<waiting> to) : m_to(std::move(to)) {}

void responder::operator()(response r) const {
    if (const auto to = m_to.lock()) {
        to->answer(std::move(r));
    }
}

void responder::abort(std::string bytes) const {
    if (const auto to = m_to.lock()) {
        to->abort(std::move(bytes));
    }
}

void responder::on_gone(std::function<void()> notify) const {
    if (const auto to = m_to.lock()) {
        to->watch(std::move(notify));
    }
}

// One caller's connection.
class session : public responder::waiting,
                public std::enable_shared_from_this<session> {
public:
    struct owner {
        const server_options& options;
        const handler& handle;
        server_counters& counters;
        std::unordered_set<session*>& sessions;
    };

    session(tcp::socket socket, owner o)
        : m_stream(std::move(socket)), m_owner(o) {
        beast::error_code ignored;
        const auto remote = m_stream.socket().remote_endpoint(ignored);
        if (!ignored && remote.address().is_v4()) {
            m_caller = remote.address().to_v4().to_uint();
        }
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        m_stream.socket().non_blocking(true, ignored);
        m_owner.sessions.insert(this);
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    ~session() override {
        if (!m_orphaned) {
            m_owner.sessions.erase(this);
        }
    }

    void read() {
        m_parser.emplace();
        m_parser->header_limit(m_owner.options.limits.header_bytes);
        m_parser->body_limit(m_owner.options.limits.body_bytes);
        m_stream.expires_after(m_owner.options.idle_timeout);
        m_idle = true;
        bhttp::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_read(e);
            });
    }

    void answer(response r) override {
        if (m_waiting) {
            write(std::move(r));
        }
    }

    void abort(std::string bytes) override {
        if (!m_waiting) {
            return;
        }
        auto kept = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(
            m_stream, asio::buffer(*kept),
            [self = shared_from_this(), kept](beast::error_code, std::size_t) {
                self->close();
            });
        m_waiting.reset();
    }

    void watch(std::function<void()> notify) override {
        m_gone = std::move(notify);
        watch_for_close();
    }

    // Closes now if idle, else after the answer.
    void stop() {
        m_stopping = true;
        if (m_idle && m_buffer.size() == 0 && !m_parser->got_some()) {
            close();
        }
    }

    void orphan() {
        m_orphaned = true;
        close();
    }

private:
    void on_read(beast::error_code e) {
        m_idle = false;
        if (m_orphaned) {
            return;
        }
        if (e == bhttp::error::end_of_stream || e == beast::error::timeout ||
            e == asio::error::operation_aborted ||
            e == asio::error::connection_reset ||
            e == bhttp::error::partial_message) {
            return close();
        }
        if (e) {
            ++m_owner.counters.malformed;
            m_keep_alive = false;
            m_refused = true;
            return write({status_of(e), m_owner.options.refusal_headers,
                          e.message() + "\n"});
        }
        auto message = m_parser->release();
        m_keep_alive = message.keep_alive();
        m_stream.expires_never();
        m_head = message.method() == bhttp::verb::head;
        m_waiting = shared_from_this();
        m_owner.handle(to_request(std::move(message), m_caller),
                       responder(weak_from_this()));
    }

    void watch_for_close() {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](beast::error_code e) {
                if (!e && self->m_waiting && self->closed_by_caller()) {
                    self->on_caller_gone();
                }
            });
    }

    // Whether what is readable is the end of the stream; more bytes are a
    // further request, which waits for its turn.
    bool closed_by_caller() {
        char next = 0;
        beast::error_code e;
        const auto got = m_stream.socket().receive(
            asio::buffer(&next, 1), tcp::socket::message_peek, e);
        return got == 0 && e != asio::error::would_block;
    }

    void on_caller_gone() {
        auto notify = std::move(m_gone);
        m_gone = nullptr;
        if (notify) {
            notify();
        }
    }

    void write(response r) {
        if (m_orphaned) {
            return;
        }
        m_gone = nullptr;
        m_answer.emplace(static_cast<bhttp::status>(r.status), 11);
        for (const auto& h : r.headers) {
            m_answer->insert(h.name, h.value);
        }
        m_answer->keep_alive(m_keep_alive && !m_stopping);
        if (!m_head) { // an answer to HEAD has no body, nor our length for it
            m_answer->body() = std::move(r.body);
            m_answer->prepare_payload();
        }
        m_stream.expires_after(m_owner.options.idle_timeout);
        bhttp::async_write(
            m_stream, *m_answer,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_written(e);
            });
        m_waiting.reset();
    }

    void on_written(beast::error_code e) {
        if (!e && m_refused && !m_orphaned) {
            m_stream.socket().shutdown(tcp::socket::shutdown_send, e);
            m_stream.expires_after(refusal_linger);
            return discard();
        }
        if (e || m_orphaned || !m_answer->keep_alive()) {
            return close();
        }
        read();
    }

    // Takes in what a refused caller still sends: closing with bytes unread
    // would reset the connection and could destroy the answer on its way.
    void discard() {
        m_buffer.clear();
        m_stream.async_read_some(
            m_buffer.prepare(discarded_at_once),
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                if (e || self->m_orphaned) {
                    return self->close();
                }
                self->discard();
            });
    }

    void close() {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.close();
        m_waiting.reset();
    }

    beast::tcp_stream m_stream;
    owner m_owner;
    beast::flat_buffer m_buffer;
    std::optional<bhttp::request_parser<bhttp::string_body>> m_parser;
    std::optional<bhttp::response<bhttp::string_body>> m_answer;
    std::shared_ptr<session> m_waiting; // keeps itself while unanswered
    std::uint32_t m_caller = 0;
    std::function<void()> m_gone;
    bool m_refused = false;
    bool m_head = false;
    bool m_keep_alive = false;
    bool m_stopping = false;
    bool m_idle = false;
    bool m_orphaned = false;
};

class server::listener : public std::enable_shared_from_this<listener> {
public:
    listener(asio::io_context& io, server_options options, handler h)
        : m_acceptor(io), m_retry(io), m_options(std::move(options)),
          m_handle(std::move(h)) {}

    base::result<void> start() {
        beast::error_code e;
        const tcp::endpoint at(
            asio::ip::make_address_v4(m_options.listen.host, e),
            m_options.listen.port);
        if (!e) {
            m_acceptor.open(at.protocol(), e);
        }
        if (!e) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), e);
        }
        if (!e && m_options.share_port) {
            m_acceptor.set_option(share_port_option(true), e);
        }
        if (!e) {
            m_acceptor.bind(at, e);
        }
        if (!e) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, e);
        }
        if (e) {
            return base::failure{make_error_code(error::cannot_listen),
                                 m_options.listen.str() + ": " + e.message()};
        }
        accept();
        return boost::outcome_v2::success();
    }

    void stop() {
        beast::error_code ignored;
        m_acceptor.close(ignored);
        const auto open = m_sessions;
        for (auto* s : open) {
            s->stop();
        }
    }

    void abandon() {
        beast::error_code ignored;
        m_acceptor.close(ignored);
        m_retry.cancel();
        const auto open = m_sessions;
        for (auto* s : open) {
            s->orphan();
        }
        m_sessions.clear();
    }

    [[nodiscard]] std::size_t connections() const { return m_sessions.size(); }
    [[nodiscard]] const server_counters& counters() const { return m_counters; }

private:
    void accept() {
        m_acceptor.async_accept(
            [self = shared_from_this()](beast::error_code e, tcp::socket s) {
                self->on_accept(e, std::move(s));
            });
    }

    void on_accept(beast::error_code e, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (e) { // for instance out of file descriptors: wait, do not spin
            m_retry.expires_after(std::chrono::milliseconds(20));
            m_retry.async_wait([self = shared_from_this()](auto stopped) {
                if (!stopped) {
                    self->accept();
                }
            });
            return;
        }
        if (m_sessions.size() >= m_options.max_connections) {
            ++m_counters.refused_connections;
            socket.close(e);
        } else {
            ++m_counters.accepted;
            std::make_shared<session>(
                std::move(socket),
                session::owner{m_options, m_handle, m_counters, m_sessions})
                ->read();
        }
        accept();
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    server_options m_options;
    handler m_handle;
    server_counters m_counters;
    std::unordered_set<session*> m_sessions;
};

server::server(asio::io_context& io, server_options options, handler h)
    : m_listener(
          std::make_shared<listener>(io, std::move(options), std::move(h))) {}

server::~server() {
    m_listener->abandon();
}

base::result<void> server::start() {
    return m_listener->start();
}

void server::stop() {
    m_listener->stop();
}

std::size_t server::connections() const {
    return m_listener->connections();
}

const server_counters& server::counters() const {
    return m_listener->counters();
}

} // namespace pollenreel::http
