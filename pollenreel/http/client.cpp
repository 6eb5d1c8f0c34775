#include "pollenreel/http/client.hpp"

#include "pollenreel/http/error.hpp"

#include <algorithm>

namespace pollenreel::http {

namespace {

bool is_time_out(const base::result<response>& r) {
    return !r && r.error().code == make_error_code(error::timed_out);
}

} // namespace

client::client(boost::asio::io_context& io, limits l,
               std::optional<std::chrono::milliseconds> connect_timeout)
    : m_io(&io), m_limits(l), m_connect_timeout(connect_timeout) {}

client::~client() {
    for (const auto& weak : m_open) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

void client::call(const base::endpoint& to, request r,
                  std::chrono::milliseconds timeout,
                  client_connection::answered done, answer_terms terms) {
    auto& idle = m_idle[to];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->reusable()) {
            return exchange(to, connection, r, timeout, std::move(done),
                            std::move(terms));
        }
    }
    auto connection = std::make_shared<client_connection>(*m_io);
    std::erase_if(m_open, [](const auto& weak) { return weak.expired(); });
    m_open.push_back(connection);
    connection->connect(
        to, std::min(timeout, m_connect_timeout.value_or(timeout)),
        [this, to, connection, timeout, r = std::move(r),
         done = std::move(done), terms = std::move(terms),
         alive = std::weak_ptr(m_alive)](base::result<void> up) {
            if (alive.expired()) {
                return;
            }
            if (!up) {
                return done(up.error());
            }
            exchange(to, connection, r, timeout, done, terms);
        });
}

void client::exchange(const base::endpoint& to, const connection_ptr& on,
                      const request& r, std::chrono::milliseconds timeout,
                      client_connection::answered done, answer_terms terms) {
    on->exchange(
        r, m_limits, timeout,
        [this, to, on, done = std::move(done),
         alive = std::weak_ptr(m_alive)](base::result<response> a) {
            if (alive.expired()) {
                return;
            }
            if (a && on->reusable()) {
                m_idle[to].push_back(on);
            } else if (is_time_out(a)) {
                // What silenced this connection may have silenced
                // those that are as old: each would cost a time-out.
                m_idle[to].clear();
            }
            done(std::move(a));
        },
        std::move(terms));
}

base::result<response> call_and_wait(const base::endpoint& to, const request& r,
                                     std::chrono::milliseconds timeout,
                                     const limits& l) {
    boost::asio::io_context io;
    client c(io, l);
    base::result<response> got =
        base::failure{make_error_code(error::connection_lost), to.str()};
    c.call(to, r, timeout,
           [&](base::result<response> a) { got = std::move(a); });
    io.run();
    return got;
}

} // namespace pollenreel::http
