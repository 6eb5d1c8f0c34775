#include "pollenreel/http/server.hpp"

#include "pollenreel/http/error.hpp"

#include "pollenreel/http/internal/session.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_set>

namespace pollenreel::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using internal::session;

using share_port_option =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
// How exactly the time-outs of connections are kept.
constexpr std::chrono::milliseconds sweep_period{200};
// Pause before accepting again after accepting failed, for instance for want
// of file descriptors.
constexpr std::chrono::milliseconds accept_retry{20};

} // namespace

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

void responder::flood(std::string head, std::string bytes) const {
    if (const auto to = m_to.lock()) {
        to->flood(std::move(head), std::move(bytes));
    }
}

void responder::on_gone(std::function<void()> notify) const {
    if (const auto to = m_to.lock()) {
        to->watch(std::move(notify));
    }
}

bool responder::has_caller_left() const {
    const auto to = m_to.lock();
    return !to || to->has_caller_left();
}

class server::listener : public std::enable_shared_from_this<listener> {
public:
    listener(asio::io_context& io, server_options options, handler h)
        : m_acceptor(io), m_retry(io), m_sweep(io),
          m_options(std::move(options)), m_handle(std::move(h)) {}

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
        sweep();
        return boost::outcome_v2::success();
    }

    void drain() {
        m_draining = true;
        for (const auto& s : held()) {
            s->stop();
        }
    }

    void stop() {
        beast::error_code ignored;
        m_acceptor.close(ignored);
        drain();
        if (m_sessions.empty()) {
            m_sweep.cancel();
        }
    }

    void abandon() {
        beast::error_code ignored;
        m_acceptor.close(ignored);
        m_retry.cancel();
        m_sweep.cancel();
        for (const auto& s : held()) {
            s->orphan();
        }
        m_sessions.clear();
    }

    void set_limits(const limits& l, std::chrono::milliseconds header_timeout,
                    std::chrono::milliseconds idle_timeout) {
        m_options.limits = l;
        m_options.header_timeout = header_timeout;
        m_options.idle_timeout = idle_timeout;
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
        if (e) {
            m_retry.expires_after(accept_retry);
            m_retry.async_wait([self = shared_from_this()](auto stopped) {
                if (!stopped) {
                    self->accept();
                }
            });
            return;
        }
        if (m_sessions.size() >= m_options.max_connections && !close_idlest()) {
            ++m_counters.refused_connections;
            socket.close(e);
        } else {
            ++m_counters.accepted;
            auto accepted = std::make_shared<session>(
                std::move(socket),
                session::owner{m_options, m_handle, m_counters, m_sessions});
            accepted->start();
            if (m_draining) {
                accepted->close_after_answer();
            }
        }
        accept();
    }

    // Makes room for a new caller at the cost of the one that has been idle
    // longest; false if none is idle.
    bool close_idlest() {
        std::shared_ptr<session> idlest;
        for (const auto& s : held()) {
            if (s->idle_since() &&
                (!idlest || *s->idle_since() < *idlest->idle_since())) {
                idlest = s;
            }
        }
        if (!idlest) {
            return false;
        }
        ++m_counters.idle_closed;
        idlest->close_now();
        return true;
    }

    // Keeps sessions alive while each is told something.
    [[nodiscard]] std::vector<std::shared_ptr<session>> held() const {
        std::vector<std::shared_ptr<session>> all;
        for (auto* s : m_sessions) {
            if (auto kept = s->weak_from_this().lock()) {
                all.push_back(std::move(kept));
            }
        }
        return all;
    }

    void sweep() {
        m_sweep.expires_after(sweep_period);
        m_sweep.async_wait([weak = weak_from_this()](const auto& stopped) {
            const auto self = weak.lock();
            if (stopped || !self) {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            for (const auto& s : self->held()) {
                s->close_if_overdue(now);
            }
            if (self->m_acceptor.is_open() || !self->m_sessions.empty()) {
                self->sweep();
            }
        });
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    asio::steady_timer m_sweep;
    server_options m_options;
    handler m_handle;
    server_counters m_counters;
    std::unordered_set<session*> m_sessions;
    bool m_draining = false;
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

void server::drain() {
    m_listener->drain();
}

void server::stop() {
    m_listener->stop();
}

void server::set_limits(const http::limits& l,
                        std::chrono::milliseconds header_timeout,
                        std::chrono::milliseconds idle_timeout) {
    m_listener->set_limits(l, header_timeout, idle_timeout);
}

std::size_t server::connections() const {
    return m_listener->connections();
}

const server_counters& server::counters() const {
    return m_listener->counters();
}

} // namespace pollenreel::http
