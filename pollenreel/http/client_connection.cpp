#include "pollenreel/http/client_connection.hpp"

#include "pollenreel/http/error.hpp"
#include "pollenreel/http/internal/body_memory.hpp"
#include "pollenreel/http/internal/orderly_close.hpp"
#include "pollenreel/http/internal/reset_on_close.hpp"
#include "pollenreel/http/internal/response_check.hpp"
#include "pollenreel/http/internal/sent_bytes.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace pollenreel::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
// The kernel gives a connection up when what was sent is not acknowledged for
// this long. Longer bears longer losses on the way and keeps what was in
// flight on a forgotten connection waiting.
constexpr std::chrono::duration<int, std::milli> unacknowledged_limit{3000};
// An idle connection, or one that waits for an answer, is probed by the kernel
// after this long, and given up after as many unanswered probes: a connection
// that something on the way has forgotten shows itself within three seconds.
using keep_alive_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_probes =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
constexpr std::chrono::duration<int> probe_after{1};
constexpr std::chrono::duration<int> probe_interval{1};
constexpr int unanswered_probes = 2;
// Where the owner checks the path: its limit, and that of the kernel, which
// must not come first.
constexpr std::chrono::milliseconds stall_limit{2000};
constexpr std::chrono::duration<int, std::milli> checked_limit{8000};
// Beast's default for a read.
constexpr std::size_t read_at_once = 65'536;
// Answers to other requests that an exchange drops before it gives up.
constexpr int most_strays = 4;

base::failure fail(error e, const beast::error_code& cause) {
    return {make_error_code(e), cause.message()};
}

base::failure read_failure(const beast::error_code& e) {
    if (e == beast::error::timeout) {
        return fail(error::timed_out, e);
    }
    if (e == bhttp::error::partial_message) {
        return fail(error::incomplete_message, e);
    }
    if (e == bhttp::error::body_limit || e == bhttp::error::header_limit ||
        e == bhttp::error::buffer_overflow) {
        return fail(error::too_large, e);
    }
    if (e.category() ==
            bhttp::make_error_code(bhttp::error::bad_method).category() &&
        e != bhttp::error::end_of_stream) {
        return fail(error::malformed_message, e);
    }
    return fail(error::connection_lost, e);
}

// Without the body.
response to_response(const internal::response_head& from) {
    response r;
    r.status = from.result_int();
    for (const auto& field : from) {
        r.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return r;
}

} // namespace

class client_connection::state : public std::enable_shared_from_this<state> {
public:
    explicit state(asio::io_context& io) : m_stream(io) {}
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() = default;

    void connect(const base::endpoint& to, std::chrono::milliseconds timeout,
                 connected done) {
        m_connected = std::move(done);
        m_host = to.str();
        beast::error_code bad;
        const tcp::endpoint at(asio::ip::make_address_v4(to.host, bad),
                               to.port);
        m_stream.expires_after(timeout);
        m_stream.async_connect(
            at, [self = shared_from_this()](beast::error_code e) {
                self->on_connected(e);
            });
    }

    void exchange(request r, const limits& l, std::chrono::milliseconds timeout,
                  answered done, answer_terms terms) {
        m_answered = std::move(done);
        m_terms = std::move(terms);
        m_memory.emplace(m_terms.budget);
        m_limits = l;
        m_strays = 0;
        m_interims = 0;
        m_reusable = false;
        m_answer_owed = true;
        // Bounds what is not part of the body, such as chunk extensions.
        m_buffer.max_size(m_limits.header_bytes + read_at_once);
        m_request.emplace(bhttp::string_to_verb(r.method), r.path, 11);
        if (m_request->method() == bhttp::verb::unknown) {
            m_request->method_string(r.method);
        }
        if (!find(r.headers, "Host")) {
            m_request->set(bhttp::field::host, m_host);
        }
        for (const auto& h : r.headers) {
            m_request->insert(h.name, h.value);
        }
        m_request->body() = std::move(r.body);
        m_request->prepare_payload();
        m_stream.expires_after(timeout);
        m_writing = true;
        m_sent_before = m_written;
        m_progress_at.reset();
        if (m_terms.owner_checks_path) {
            probe_path(false);
        }
        bhttp::async_write(
            m_stream, *m_request,
            [self = shared_from_this()](beast::error_code e, std::size_t n) {
                self->m_written += n;
                self->on_written(e);
            });
        // A server may answer before it has read a long body.
        read_answer();
    }

    [[nodiscard]] bool reusable() {
        if (!m_reusable || m_closed) {
            return false;
        }
        // Anything readable now is a close or an answer that nobody asked for.
        beast::error_code e;
        char probe = 0;
        m_stream.socket().receive(asio::buffer(&probe, 1),
                                  tcp::socket::message_peek, e);
        return e == asio::error::would_block;
    }

    void close() {
        m_closed = true;
        m_connected = nullptr;
        m_answered = nullptr;
        if (!m_answer_owed && m_stream.socket().is_open()) {
            internal::set_reset_on_close(m_stream.socket(), false);
        }
        m_stream.close();
    }

    void reset() {
        m_answer_owed = true;
        close();
    }

    [[nodiscard]] std::optional<unanswered_bytes> unanswered() {
        if (!m_stream.socket().is_open()) {
            return std::nullopt;
        }
        if (!m_answer_owed) {
            return unanswered_bytes{};
        }
        const auto sent =
            internal::read_sent_bytes(m_stream.socket().native_handle());
        if (!sent) {
            return std::nullopt;
        }
        const auto total = sent->acknowledged + sent->unacknowledged;
        return unanswered_bytes{total - std::min(total, m_sent_before),
                                sent->unacknowledged};
    }

    [[nodiscard]] bool is_stalled(base::time_point now) {
        const auto sent = unanswered();
        if (!m_terms.owner_checks_path || !m_answer_owed || !sent) {
            return false;
        }
        const auto acknowledged = sent->handed_over - sent->unacknowledged;
        if (!m_progress_at || acknowledged != m_acknowledged) {
            m_acknowledged = acknowledged;
            m_progress_at = now;
        }
        probe_path(sent->unacknowledged == 0);
        return sent->unacknowledged > 0 && now - *m_progress_at >= stall_limit;
    }

    [[nodiscard]] bool answer_begun() {
        if (!m_answer_owed || !m_stream.socket().is_open()) {
            return false;
        }
        beast::error_code ignored;
        // While a read's handler is queued, only the parser tells.
        return m_buffer.size() > 0 || (m_parser && m_parser->got_some()) ||
               m_stream.socket().available(ignored) > 0;
    }

private:
    void on_connected(beast::error_code e) {
        if (m_closed) {
            return;
        }
        auto done = std::move(m_connected);
        if (e) {
            return done(fail(e == beast::error::timeout ? error::timed_out
                                                        : error::connect_failed,
                             e));
        }
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        m_stream.socket().set_option(asio::socket_base::keep_alive(true),
                                     ignored);
        m_stream.socket().set_option(keep_alive_idle(probe_after.count()),
                                     ignored);
        m_stream.socket().set_option(
            keep_alive_interval(probe_interval.count()), ignored);
        m_stream.socket().set_option(keep_alive_probes(unanswered_probes),
                                     ignored);
        m_stream.socket().set_option(user_timeout(unacknowledged_limit.count()),
                                     ignored);
        m_stream.socket().non_blocking(true, ignored);
        // Set for the whole life of the connection, since a time-out and the
        // end of the process close it too.
        internal::set_reset_on_close(m_stream.socket(), true);
        m_reusable = true;
        done(boost::outcome_v2::success());
    }

    // By the kernel.
    void probe_path(bool on) {
        if (m_probes_path != on && m_stream.socket().is_open()) {
            beast::error_code ignored;
            m_stream.socket().set_option(asio::socket_base::keep_alive(on),
                                         ignored);
            m_stream.socket().set_option(
                user_timeout(
                    (on ? unacknowledged_limit : checked_limit).count()),
                ignored);
            m_probes_path = on;
        }
    }

    // After an error the answer may still be there to be read; if not, reading
    // fails too.
    void on_written(beast::error_code e) { m_writing = e.failed(); }

    void read_answer() {
        m_parser.emplace();
        m_parser->header_limit(m_limits.header_bytes);
        m_parser->body_limit(m_limits.body_bytes);
        m_parser->on_chunk_header(m_chunk_check);
        if (m_request->method() == bhttp::verb::head) {
            m_parser->skip(true);
        }
        bhttp::async_read_header(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_head(e);
            });
    }

    void on_head(beast::error_code e) {
        if (m_closed) {
            return;
        }
        if (e) {
            return finish(read_failure(e));
        }
        const auto kind =
            internal::check_head(m_parser->get(), m_request->method());
        if (!kind) {
            return finish(kind.error());
        }
        if (kind.value() == internal::response_kind::interim) {
            if (++m_interims > internal::max_interim_responses) {
                return finish(
                    base::failure{make_error_code(error::malformed_message),
                                  "too many interim responses"});
            }
            return read_answer();
        }
        if (m_parser->need_eof() && !m_terms.allow_close_delimited) {
            return finish(
                base::failure{make_error_code(error::incomplete_message),
                              "the answer does not say how long it is"});
        }
        // The parser would add the fields of trailers.
        m_answer = to_response(m_parser->get());
        if (!m_parser->is_done()) {
            if (m_terms.body_time) {
                m_body_deadline =
                    std::chrono::steady_clock::now() + m_terms.body_time->total;
            }
            return continue_body();
        }
        on_answer();
    }

    void continue_body() {
        // The callback may close the connection.
        if (const auto on_progress = m_terms.on_progress) {
            on_progress();
        }
        if (!m_closed) {
            read_body();
        }
    }

    void read_body() {
        if (!is_length_known() &&
            !m_memory->make_room(m_parser->get().body(), m_buffer.max_size())) {
            return finish(no_memory());
        }
        if (m_terms.body_time) {
            m_stream.expires_at(
                std::min(m_body_deadline, std::chrono::steady_clock::now() +
                                              m_terms.body_time->stalled));
        }
        bhttp::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_body(e);
            });
    }

    void on_body(beast::error_code e) {
        if (m_closed) {
            return;
        }
        if (e) {
            return finish(body_failure(e));
        }
        if (!m_memory->count(m_parser->get().body(), is_length_known())) {
            return finish(no_memory());
        }
        if (!m_parser->is_done()) {
            return continue_body();
        }
        if (m_parser->need_eof() &&
            !internal::is_closed_in_order(m_stream.socket().native_handle())) {
            return finish(
                base::failure{make_error_code(error::incomplete_message),
                              "the connection was reset"});
        }
        on_answer();
    }

    [[nodiscard]] base::failure body_failure(const beast::error_code& e) const {
        auto failure = read_failure(e);
        failure.detail += "; " + std::to_string(m_parser->get().body().size());
        if (const auto length = m_parser->content_length()) {
            failure.detail += " of " + std::to_string(*length);
        }
        failure.detail += " bytes of the body were received";
        return failure;
    }

    [[nodiscard]] bool is_length_known() const {
        return m_parser->content_length().has_value();
    }

    static base::failure no_memory() {
        return {make_error_code(error::too_large),
                "no memory left for the answer"};
    }

    void on_answer() {
        const bool close_delimited = m_parser->need_eof();
        const bool keep_alive = m_parser->keep_alive();
        m_answer.body = std::move(m_parser->get().body());
        if (m_terms.matches && !m_terms.matches(m_answer)) {
            if (close_delimited || !keep_alive || ++m_strays > most_strays) {
                return finish(
                    base::failure{make_error_code(error::malformed_message),
                                  "the answer belongs to another request"});
            }
            m_answer = {};
            m_memory->release();
            return read_answer();
        }
        m_reusable = keep_alive && !close_delimited && m_strays == 0 &&
                     m_buffer.size() == 0 && !m_writing;
        m_answer_owed = false;
        m_stream.expires_never();
        // Probes that begin while the connection is idle could make the kernel
        // give it up just after the next request was written.
        if (m_terms.owner_checks_path) {
            probe_path(false);
        }
        finish(std::move(m_answer));
    }

    void finish(base::result<response> r) {
        m_parser.reset(); // with what was read of a body that is cut off
        m_memory->release();
        auto done = std::move(m_answered);
        m_answered = nullptr;
        done(std::move(r));
    }

    beast::tcp_stream m_stream;
    bool m_probes_path = true;
    std::uint64_t m_acknowledged = 0; // of this exchange, when last checked
    std::optional<base::time_point> m_progress_at; // of `m_acknowledged`
    beast::flat_buffer m_buffer;
    std::string m_host;
    std::optional<bhttp::request<bhttp::string_body>> m_request;
    std::optional<bhttp::response_parser<bhttp::string_body>> m_parser;
    internal::chunk_extension_check m_chunk_check;
    response m_answer; // as read so far; the body once it is whole
    connected m_connected;
    answered m_answered;
    answer_terms m_terms;
    limits m_limits;
    std::chrono::steady_clock::time_point m_body_deadline;
    std::optional<internal::body_memory> m_memory; // of this exchange
    int m_strays = 0;       // answers to other requests, in this exchange
    int m_interims = 0;     // interim responses, in this exchange
    bool m_writing = false; // the request, or writing it failed
    // An exchange began and its answer has not come whole.
    bool m_answer_owed = false;
    std::uint64_t m_written = 0;     // bytes of requests written to the end
    std::uint64_t m_sent_before = 0; // m_written as this exchange began
    bool m_reusable = false;
    bool m_closed = false;
};

client_connection::client_connection(asio::io_context& io)
    : m_state(std::make_shared<state>(io)) {}

client_connection::~client_connection() {
    m_state->close();
}

void client_connection::connect(const base::endpoint& to,
                                std::chrono::milliseconds timeout,
                                connected done) {
    m_state->connect(to, timeout, std::move(done));
}

void client_connection::exchange(request r, const limits& l,
                                 std::chrono::milliseconds timeout,
                                 answered done, answer_terms terms) {
    m_state->exchange(std::move(r), l, timeout, std::move(done),
                      std::move(terms));
}

bool client_connection::reusable() const {
    return m_state->reusable();
}

void client_connection::close() {
    m_state->close();
}

void client_connection::reset() {
    m_state->reset();
}

std::optional<unanswered_bytes> client_connection::unanswered() const {
    return m_state->unanswered();
}

bool client_connection::is_stalled(base::time_point now) {
    return m_state->is_stalled(now);
}

bool client_connection::answer_begun() const {
    return m_state->answer_begun();
}

} // namespace pollenreel::http
