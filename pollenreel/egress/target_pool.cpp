#include "pollenreel/egress/target_pool.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace pollenreel::egress {

namespace {

using std::chrono::milliseconds;

// An attempt on a reused connection that got nothing back for this long makes
// the other connections as old as it suspect. Lower replaces them sooner and
// costs a slow target more connects.
constexpr milliseconds silent_after{250};

} // namespace

target_pool::target_pool(boost::asio::io_context& io, const base::clock& clock,
                         target_pool_options options, facts_reader read,
                         report on_event)
    : m_io(io), m_clock(clock), m_options(options), m_read(std::move(read)),
      m_report(std::move(on_event)), m_book(m_options.connections) {}

void target_pool::open(const request::open_attempt& o) {
    const auto id = o.attempt;
    const auto now = m_clock.now();
    while (const auto old =
               m_book.acquire_idle(o.target.address, o.idempotent, now)) {
        if (!m_connections.at(*old)->reusable()) {
            close(*old);
            continue;
        }
        m_exchanges[id] = {*old, now, true, {}};
        boost::asio::post(
            m_io, [this, id] { m_report(request::attempt_connected{id}); });
        return;
    }
    while (m_book.count_open(o.target.address) >= o.max_connections) {
        const auto oldest = m_book.oldest_idle(o.target.address);
        if (!oldest) {
            break;
        }
        close(*oldest);
    }
    m_last_connection = m_last_connection.next();
    auto connection = std::make_shared<http::client_connection>(m_io);
    m_connections[m_last_connection] = connection;
    m_book.on_opened(m_last_connection, o.target.address);
    m_exchanges[id] = {m_last_connection, now, false, {}};
    const auto left =
        std::chrono::duration_cast<milliseconds>(o.deadline - now);
    const auto timeout =
        std::clamp(left, milliseconds(1), m_options.connect_timeout);
    connection->connect(o.target.address, timeout,
                        [this, id](const base::result<void>& up) {
                            if (up) {
                                return m_report(request::attempt_connected{id});
                            }
                            close(m_exchanges.at(id).connection);
                            m_exchanges.erase(id);
                            m_report(request::attempt_connect_failed{id});
                        });
}

void target_pool::send(base::attempt_id attempt, const http::request& r,
                       const std::string& request_id, milliseconds limit) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    http::answer_terms terms;
    terms.allow_close_delimited = m_options.allow_close_delimited;
    if (m_options.skip_strays) {
        terms.matches = [this, request_id](const http::response& r2) {
            return m_read(r2, request_id).id_matches;
        };
    }
    m_connections.at(found->second.connection)
        ->exchange(
            r, m_options.answer_limits, limit,
            [this, attempt, request_id](base::result<http::response> answer) {
                on_answer(attempt, request_id, std::move(answer));
            },
            std::move(terms));
}

void target_pool::on_answer(base::attempt_id attempt,
                            const std::string& request_id,
                            base::result<http::response> answer) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    if (!answer) {
        return lose(attempt);
    }
    auto& e = found->second;
    auto facts = m_read(answer.value(), request_id);
    facts.bytes = answer.value().body.size();
    release(e, facts);
    e.answer = std::move(answer.value());
    m_report(request::attempt_answered{attempt, facts});
    m_exchanges.erase(attempt);
}

void target_pool::release(const exchange& e,
                          const request::response_info& facts) {
    if (facts.id_matches && m_connections.at(e.connection)->reusable()) {
        return m_book.on_answered(e.connection, m_clock.now(),
                                  facts.keep_alive);
    }
    close(e.connection);
}

void target_pool::give_up(const exchange& e) {
    if (e.reused && m_clock.now() - e.since >= silent_after) {
        for (const auto id : m_book.find_suspects(e.connection, e.since)) {
            close(id);
        }
    }
    close(e.connection);
}

void target_pool::close(request::connection_id id) {
    m_book.on_closed(id);
    m_connections.erase(id);
}

void target_pool::lose(base::attempt_id attempt) {
    const auto e = std::move(m_exchanges.at(attempt));
    m_exchanges.erase(attempt);
    give_up(e);
    m_report(request::attempt_lost{attempt});
}

void target_pool::abandon(base::attempt_id attempt) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    const auto e = std::move(found->second);
    m_exchanges.erase(found);
    give_up(e);
}

http::response target_pool::take_answer(base::attempt_id attempt) {
    return std::move(m_exchanges.at(attempt).answer);
}

void target_pool::close_expired() {
    for (const auto id : m_book.find_expired(m_clock.now())) {
        close(id);
    }
}

} // namespace pollenreel::egress
