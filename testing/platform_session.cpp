#include "testing/platform_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <deque>
#include <optional>
#include <utility>

namespace pollenreel::testing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t most_body_bytes = 4ULL * 1024 * 1024;

class session final : public platform_session,
                      public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, session_handler handler)
        : m_stream(std::move(socket)), m_handler(std::move(handler)) {}

    void read() {
        m_parser.emplace();
        m_parser->body_limit(most_body_bytes);
        bhttp::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_read(e);
            });
    }

    void answer(unsigned status, std::string body) override {
        if (m_gone) {
            return;
        }
        m_answer.emplace(static_cast<bhttp::status>(status),
                         m_parser->get().version());
        m_answer->set(bhttp::field::content_type, "application/json");
        m_answer->keep_alive(m_parser->get().keep_alive());
        m_answer->body() = std::move(body);
        m_answer->prepare_payload();
        bhttp::async_write(
            m_stream, *m_answer,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                if (e || !self->m_answer->keep_alive()) {
                    return self->close();
                }
                self->read();
            });
    }

    void stream(std::string bytes) override {
        if (!std::exchange(m_streaming, true)) {
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
            watch_for_close();
        }
        send(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
    }

    void stay_silent() override { watch_for_close(); }

    void close() override {
        m_gone = true;
        m_stream.close();
    }

    [[nodiscard]] bool gone() const override { return m_gone; }

private:
    void on_read(beast::error_code e) {
        if (e) {
            return close();
        }
        http::request r;
        r.method = std::string(m_parser->get().method_string());
        r.path = std::string(m_parser->get().target());
        r.body = std::move(m_parser->get().body());
        m_handler(std::move(r), shared_from_this());
    }

    // A caller that waits for an answer sends nothing more but its close.
    void watch_for_close() {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](beast::error_code) { self->close(); });
    }

    void send(std::string bytes) {
        if (m_gone) {
            return;
        }
        m_unsent.push_back(std::move(bytes));
        if (m_unsent.size() == 1) {
            write_next();
        }
    }

    void write_next() {
        asio::async_write(
            m_stream, asio::buffer(m_unsent.front()),
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                if (e) {
                    return self->close();
                }
                self->m_unsent.pop_front();
                if (!self->m_unsent.empty()) {
                    self->write_next();
                }
            });
    }

    beast::tcp_stream m_stream;
    session_handler m_handler;
    beast::flat_buffer m_buffer;
    std::optional<bhttp::request_parser<bhttp::string_body>> m_parser;
    std::optional<bhttp::response<bhttp::string_body>> m_answer;
    std::deque<std::string> m_unsent;
    bool m_streaming = false;
    bool m_gone = false;
};

} // namespace

void serve_connection(tcp::socket socket, session_handler handler) {
    std::make_shared<session>(std::move(socket), std::move(handler))->read();
}

} // namespace pollenreel::testing
