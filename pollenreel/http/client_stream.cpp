#include "pollenreel/http/client_stream.hpp"

#include "pollenreel/http/error.hpp"
#include "pollenreel/http/internal/reset_on_close.hpp"
#include "pollenreel/http/internal/response_check.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <utility>

namespace pollenreel::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr int http_1_1 = 11;
// Beast's defaults for a header and for a read.
constexpr std::size_t largest_buffer = 8192 + 65'536;

} // namespace

class client_stream::state : public std::enable_shared_from_this<state> {
public:
    explicit state(asio::io_context& io) : m_stream(io) {}

    void open(const base::endpoint& to, const request& r,
              std::chrono::milliseconds timeout, callbacks on) {
        m_on = std::move(on);
        m_timeout = timeout;
        m_request.method(bhttp::string_to_verb(r.method));
        m_request.target(r.path);
        m_request.version(http_1_1);
        m_request.set(bhttp::field::host, to.str());
        for (const auto& h : r.headers) {
            m_request.insert(h.name, h.value);
        }
        m_request.body() = r.body;
        m_request.prepare_payload();
        // Bounds what is not part of the body, such as chunk extensions.
        m_buffer.max_size(largest_buffer);
        beast::error_code bad;
        const tcp::endpoint at(asio::ip::make_address_v4(to.host, bad),
                               to.port);
        m_stream.expires_after(timeout);
        m_stream.async_connect(
            at, [self = shared_from_this()](beast::error_code e) {
                self->on_connected(e);
            });
    }

    void close() {
        m_closed = true;
        m_on = {};
        m_stream.close();
    }

private:
    void on_connected(beast::error_code e) {
        if (m_closed) {
            return;
        }
        if (e) {
            return end(error::connect_failed, e.message());
        }
        beast::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::keep_alive(true),
                                     ignored);
        // A time-out and the end of the process close the connection too.
        internal::set_reset_on_close(m_stream.socket(), true);
        m_stream.expires_after(m_timeout);
        bhttp::async_write(
            m_stream, m_request,
            [self = shared_from_this()](beast::error_code e2, std::size_t) {
                self->on_written(e2);
            });
    }

    void on_written(beast::error_code e) {
        if (m_closed) {
            return;
        }
        if (e) {
            return end(error::connection_lost, e.message());
        }
        read_header();
    }

    void read_header() {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->on_chunk_header(m_chunk_check);
        bhttp::async_read_header(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_header(e);
            });
    }

    void on_header(beast::error_code e) {
        if (m_closed) {
            return;
        }
        if (e) {
            return end(e == beast::error::timeout ? error::timed_out
                                                  : error::connection_lost,
                       e.message());
        }
        const auto& head = m_parser->get();
        const auto kind = internal::check_head(head, m_request.method());
        if (!kind) {
            return end(error::malformed_message, kind.error().detail);
        }
        if (kind.value() == internal::response_kind::interim) {
            if (++m_interims > internal::max_interim_responses) {
                return end(error::malformed_message,
                           "too many interim responses");
            }
            return read_header();
        }
        if (head.result() != bhttp::status::ok) {
            return end(error::malformed_message,
                       std::to_string(head.result_int()));
        }
        m_stream.expires_never();
        read();
    }

    void read() {
        bhttp::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_read(e);
            });
    }

    void on_read(beast::error_code e) {
        if (m_closed) {
            return;
        }
        const auto bytes = std::exchange(m_parser->get().body(), {});
        if (!bytes.empty()) {
            // The callback may close this stream.
            const auto received = m_on.received;
            received(bytes);
        }
        if (m_closed) {
            return;
        }
        if (e || m_parser->is_done()) {
            if (m_parser->is_done()) {
                internal::set_reset_on_close(m_stream.socket(), false);
            }
            return end(error::connection_lost, e.message());
        }
        read();
    }

    void end(error e, std::string detail) {
        m_closed = true;
        const auto on = std::exchange(m_on, {});
        m_stream.close();
        on.ended({make_error_code(e), std::move(detail)});
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bhttp::request<bhttp::string_body> m_request;
    std::optional<bhttp::response_parser<bhttp::string_body>> m_parser;
    internal::chunk_extension_check m_chunk_check;
    int m_interims = 0; // interim responses
    callbacks m_on;
    std::chrono::milliseconds m_timeout{};
    bool m_closed = false;
};

client_stream::client_stream(asio::io_context& io)
    : m_state(std::make_shared<state>(io)) {}

client_stream::~client_stream() {
    m_state->close();
}

void client_stream::open(const base::endpoint& to, const request& r,
                         std::chrono::milliseconds timeout, callbacks on) {
    m_state->open(to, r, timeout, std::move(on));
}

void client_stream::close() {
    m_state->close();
}

} // namespace pollenreel::http
