#include "pollenreel/http/internal/session.hpp"

#include "pollenreel/http/internal/peer_closed.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <boost/asio/write.hpp>

#include <array>

namespace pollenreel::http::internal {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

// How long a caller may go on sending after the closing answer before it is
// cut off.
constexpr std::chrono::milliseconds linger{1000};
constexpr std::size_t read_at_once = 4096; // bytes
// Beast's default for a read.
constexpr std::size_t beast_read_size = 65'536;
constexpr unsigned unavailable = 503;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

// Without the body.
request to_request(const bhttp::request<bhttp::string_body>& from,
                   const tcp::endpoint& caller) {
    request r;
    r.method = std::string(from.method_string());
    r.path = std::string(from.target());
    for (const auto& field : from) {
        r.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (caller.address().is_v4()) {
        r.caller_address = caller.address().to_v4().to_uint();
    }
    r.caller_port = caller.port();
    return r;
}

unsigned status_of(const beast::error_code& e) {
    if (e == bhttp::error::body_limit) {
        return 413;
    }
    if (e == bhttp::error::header_limit || e == bhttp::error::buffer_overflow) {
        return 431;
    }
    return 400;
}

// Without a body by their status; a length of zero would be wrong for 304, and
// none is allowed for 204 (RFC 9110, section 8.6).
bool is_bodiless(unsigned status) {
    return status == no_content || status == not_modified;
}

bool ends_connection(const beast::error_code& e) {
    return e == bhttp::error::end_of_stream ||
           e == bhttp::error::partial_message || e == asio::error::eof ||
           e == asio::error::operation_aborted ||
           e == asio::error::connection_reset;
}

} // namespace

class session::slot : public responder::waiting {
public:
    // `body_bytes`: returned to the budget with the slot's end.
    slot(std::shared_ptr<session> to, bool head_only, bool stays_open,
         std::size_t body_bytes = 0)
        : head(head_only), keep_alive(stays_open), m_session(std::move(to)),
          m_budget(m_session->m_owner.options.budget),
          m_body_bytes(body_bytes) {}
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot() override {
        if (m_budget) {
            m_budget->release(m_body_bytes);
        }
    }

    void answer(response r) override { m_session->answer(*this, std::move(r)); }
    void abort(std::string bytes) override {
        m_session->abort(std::move(bytes));
    }
    void flood(std::string first, std::string bytes) override {
        m_session->flood(first,
                         std::make_shared<std::string>(std::move(bytes)));
    }
    [[nodiscard]] bool has_caller_left() const override {
        return m_session->has_caller_left();
    }
    void watch(std::function<void()> notify) override {
        gone = std::move(notify);
        if (!m_session->m_reading) {
            m_session->watch_for_close();
        }
    }

    const bool head;       // the request's method was HEAD
    const bool keep_alive; // the request left the connection open
    std::optional<response> ready;
    std::function<void()> gone;

private:
    std::shared_ptr<session> m_session; // kept while an answer is owed
    std::shared_ptr<receive_budget> m_budget;
    std::size_t m_body_bytes;
};

session::session(tcp::socket socket, owner o)
    : m_socket(std::move(socket)), m_owner(o), m_budget(o.options.budget),
      m_memory(o.options.budget) {
    beast::error_code ignored;
    m_caller = m_socket.remote_endpoint(ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_owner.sessions.insert(this);
}

session::~session() {
    if (!m_orphaned) {
        m_owner.sessions.erase(this);
    }
}

void session::start() {
    await_bytes();
}

void session::stop() {
    m_stopping = true; // from now on, answers close the connection
    if (m_owed.empty() && !partly_read() && !m_answer) {
        close();
    }
}

bool session::partly_read() const {
    return m_buffer.size() > 0 || (m_parser && m_parser->got_some());
}

void session::orphan() {
    m_orphaned = true;
    close();
}

void session::close_if_overdue(base::time_point now) {
    // No read is pending that would bring the end of the stream.
    if (!m_reading && !m_finishing && !m_owed.empty() && has_caller_left()) {
        return on_caller_gone();
    }
    if (m_overdue_at && now >= *m_overdue_at) {
        close();
    }
}

void session::expect(phase p) {
    const auto& o = m_owner.options;
    m_idle_since.reset();
    switch (p) {
    case phase::idle:
        m_idle_since = steady::now();
        m_overdue_at = *m_idle_since + o.idle_timeout;
        break;
    case phase::header:
        m_overdue_at = steady::now() + o.header_timeout;
        break;
    case phase::body:
        m_overdue_at = steady::now() + o.body_timeout;
        break;
    case phase::busy:
        m_overdue_at.reset();
        break;
    }
}

// Waits for the first byte of a request; one that is there already is read at
// once.
void session::await_bytes() {
    m_reading = true;
    m_parser.emplace();
    m_parser->header_limit(m_owner.options.limits.header_bytes);
    m_parser->body_limit(m_owner.options.limits.body_bytes);
    // Bounds what is not part of the body, such as chunk extensions.
    m_buffer.max_size(
        std::max(m_owner.options.limits.header_bytes + beast_read_size,
                 m_buffer.size()));
    if (m_buffer.size() > 0) {
        return read_header();
    }
    expect(m_owed.empty() && !m_answer ? phase::idle : phase::busy);
    m_socket.async_read_some(
        m_buffer.prepare(read_at_once),
        [self = shared_from_this()](beast::error_code e, std::size_t count) {
            self->on_bytes(e, count);
        });
}

void session::on_bytes(beast::error_code e, std::size_t count) {
    if (m_closed || m_finishing) {
        return;
    }
    m_buffer.commit(count);
    if (e) {
        return on_read_end(e);
    }
    read_header();
}

void session::read_header() {
    expect(phase::header);
    bhttp::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code e, std::size_t) {
            self->on_header(e);
        });
}

void session::on_header(beast::error_code e) {
    if (m_closed || m_finishing) {
        return;
    }
    if (e) {
        return on_read_end(e);
    }
    m_header_read_at = steady::now();
    if (m_parser->is_done()) {
        return hand_over();
    }
    if (auto refusal = refuse_body()) {
        return refuse(std::move(*refusal));
    }
    if (!m_closed) {
        read_body();
    }
}

std::optional<response> session::refuse_body() {
    const auto length = m_parser->content_length();
    if (m_budget && length && !m_budget->has_room(*length)) {
        return no_room();
    }
    const auto& filter = m_owner.options.header_filter;
    return filter ? filter(to_request(m_parser->get(), m_caller))
                  : std::nullopt;
}

response session::no_room() const {
    auto headers = m_owner.options.refusal_headers;
    headers.push_back({"Retry-After", "1"});
    return {unavailable, std::move(headers), "no memory for the body\n"};
}

void session::read_body() {
    if (!m_parser->content_length() &&
        !m_memory.make_room(m_parser->get().body(), m_buffer.max_size())) {
        return refuse(no_room());
    }
    expect(phase::body);
    bhttp::async_read_some(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code e, std::size_t) {
            self->on_body(e);
        });
}

void session::on_body(beast::error_code e) {
    if (m_closed || m_finishing) {
        return;
    }
    if (e) {
        return on_read_end(e);
    }
    if (!m_memory.count(m_parser->get().body(),
                        m_parser->content_length().has_value())) {
        return refuse(no_room());
    }
    if (!m_parser->is_done()) {
        return read_body();
    }
    hand_over();
}

bool session::has_caller_left() {
    return m_closed || has_peer_closed(m_socket.native_handle());
}

void session::hand_over() {
    m_reading = false;
    auto message = m_parser->release();
    m_parser.reset();
    m_last_read = !message.keep_alive();
    auto owed = std::make_shared<slot>(shared_from_this(),
                                       message.method() == bhttp::verb::head,
                                       !m_last_read, m_memory.take());
    m_owed.push_back(owed);
    expect(phase::busy);
    const auto self = shared_from_this();
    auto r = to_request(message, m_caller);
    r.body = std::move(message.body());
    r.body_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady::now() - m_header_read_at);
    m_owner.handle(std::move(r),
                   responder(std::weak_ptr<responder::waiting>(owed)));
    if (m_closed || m_finishing || m_reading || m_last_read) {
        return m_closed || m_reading ? void() : watch_for_close();
    }
    if (m_owed.size() < m_owner.options.max_pipelined) {
        await_bytes();
    }
}

void session::on_read_end(beast::error_code e) {
    m_reading = false;
    if (ends_connection(e)) {
        return on_caller_gone();
    }
    refuse(e);
}

// Answers a malformed or oversized request.
void session::refuse(beast::error_code e) {
    ++m_owner.counters.malformed;
    refuse({status_of(e), m_owner.options.refusal_headers, e.message() + "\n"});
}

// Answers a request that is not read to its end, after those before it.
void session::refuse(response r) {
    m_reading = false;
    m_last_read = true;
    m_parser.reset(); // with what was read of the body
    m_memory.release();
    expect(phase::busy);
    m_owed.push_back(std::make_shared<slot>(shared_from_this(), false, false));
    answer(*m_owed.back(), std::move(r));
}

void session::watch_for_close() {
    if (m_closed) {
        return;
    }
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](
                                                    beast::error_code e) {
        if (!e && !self->m_reading && !self->m_owed.empty() &&
            self->closed_by_caller()) {
            self->on_caller_gone();
        }
    });
}

// Whether what is readable is the end of the stream; more bytes are a further
// request, which waits for its turn.
bool session::closed_by_caller() {
    char next = 0;
    beast::error_code e;
    const auto got =
        m_socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, e);
    return got == 0 && e != asio::error::would_block;
}

void session::on_caller_gone() {
    const auto self = shared_from_this();
    const auto owed = std::exchange(m_owed, {});
    close();
    for (const auto& s : owed) {
        if (const auto notify = std::exchange(s->gone, nullptr)) {
            notify();
        }
    }
}

void session::answer(slot& s, response r) {
    if (s.ready || m_closed) {
        return;
    }
    s.gone = nullptr;
    s.ready = std::move(r);
    write_next();
}

void session::abort(std::string bytes) {
    auto kept = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(m_socket, asio::buffer(*kept),
                      [self = shared_from_this(), kept](
                          beast::error_code, std::size_t) { self->close(); });
}

void session::flood(const std::string& next,
                    const std::shared_ptr<std::string>& bytes) {
    auto kept = std::make_shared<std::string>(next);
    asio::async_write(m_socket, asio::buffer(*kept),
                      [self = shared_from_this(), kept,
                       bytes](beast::error_code e, std::size_t) {
                          if (e || self->m_closed) {
                              return self->close();
                          }
                          self->flood(*bytes, bytes);
                      });
}

void session::write_next() {
    if (m_closed || m_answer || m_owed.empty() || !m_owed.front()->ready) {
        return;
    }
    const auto first = m_owed.front();
    m_owed.pop_front();
    const bool last = m_owed.empty() && !(m_reading && m_buffer.size() > 0);
    auto r = std::move(*first->ready);
    m_answer.emplace(static_cast<bhttp::status>(r.status), 11);
    for (const auto& h : r.headers) {
        m_answer->insert(h.name, h.value);
    }
    m_answer->keep_alive(first->keep_alive && !(m_stopping && last));
    // An answer to HEAD has no body either, nor our length for it.
    if (!first->head && !is_bodiless(r.status)) {
        m_answer->body() = std::move(r.body);
        m_answer->prepare_payload();
    }
    if (!m_answer->keep_alive()) {
        m_finishing = true;
    }
    m_overdue_at = steady::now() + m_owner.options.write_timeout;
    bhttp::async_write(
        m_socket, *m_answer,
        [self = shared_from_this()](beast::error_code e, std::size_t) {
            self->on_written(e);
        });
}

void session::on_written(beast::error_code e) {
    m_answer.reset();
    if (m_closed) {
        return;
    }
    if (e) {
        return on_caller_gone();
    }
    if (m_finishing) {
        return finish();
    }
    if (m_stopping && m_owed.empty() && !partly_read()) {
        // It was told to stop while it wrote an answer that kept it open.
        return close();
    }
    expect(m_owed.empty() ? phase::idle : phase::busy);
    if (!m_reading && !m_last_read) {
        await_bytes();
    }
    write_next();
}

// Takes in what the caller still sends: closing with bytes unread would reset
// the connection and could destroy the answer on its way.
void session::finish() {
    beast::error_code ignored;
    m_socket.cancel(ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_overdue_at = steady::now() + linger;
    discard();
}

void session::discard() {
    // Nobody looks at these bytes, so all sessions share them. A read of a
    // request that was cancelled may still use the session's own buffer.
    thread_local std::array<char, read_at_once> unused;
    m_socket.async_read_some(
        asio::buffer(unused),
        [self = shared_from_this()](beast::error_code e, std::size_t) {
            if (self->m_closed) {
                return;
            }
            if (e && e != asio::error::operation_aborted) {
                return self->close();
            }
            self->discard();
        });
}

void session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_overdue_at.reset();
    m_idle_since.reset();
    m_owed.clear();
    beast::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

} // namespace pollenreel::http::internal
