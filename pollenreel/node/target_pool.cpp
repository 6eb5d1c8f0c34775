#include "pollenreel/node/target_pool.hpp"

#include "pollenreel/node/headers.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace pollenreel::node {

namespace {

using std::chrono::milliseconds;

// A connect that takes longer is given up; within a fleet's longest
// round trip it takes tens of milliseconds.
constexpr milliseconds connect_timeout{250};

request::answer_facts facts_of(const http::response& r,
                               const std::string& request_id) {
    request::answer_facts facts;
    facts.status = r.status;
    facts.shed = http::find(r.headers, header_shed).has_value();
    facts.id_matches = http::find(r.headers, header_request_id) ==
                       std::string_view(request_id);
    return facts;
}

} // namespace

target_pool::target_pool(boost::asio::io_context& io,
                         http::limits answer_limits, report on_event)
    : m_io(io), m_limits(answer_limits), m_report(std::move(on_event)) {}

void target_pool::open(const request::open_attempt& o, base::time_point now) {
    const auto id = o.attempt;
    auto& idle = m_idle[o.to.address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->reusable()) {
            m_exchanges[id] = {o.to.address, std::move(connection), {}};
            boost::asio::post(
                m_io, [this, id] { m_report(request::attempt_connected{id}); });
            return;
        }
    }
    auto connection = std::make_shared<http::client_connection>(m_io);
    m_exchanges[id] = {o.to.address, connection, {}};
    const auto left =
        std::chrono::duration_cast<milliseconds>(o.deadline - now);
    const auto timeout = std::clamp(left, milliseconds(1), connect_timeout);
    connection->connect(o.to.address, timeout,
                        [this, id](const base::result<void>& up) {
                            if (up) {
                                return m_report(request::attempt_connected{id});
                            }
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
    found->second.connection->exchange(
        r, m_limits, limit,
        [this, attempt, request_id](base::result<http::response> answer) {
            on_answer(attempt, request_id, std::move(answer));
        });
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
    auto facts = facts_of(answer.value(), request_id);
    facts.bytes = answer.value().body.size();
    if (facts.id_matches && e.connection->reusable()) {
        m_idle[e.to].push_back(std::move(e.connection));
    }
    e.answer = std::move(answer.value());
    m_report(request::attempt_answered{attempt, facts});
    m_exchanges.erase(attempt);
}

void target_pool::lose(base::attempt_id attempt) {
    m_exchanges.erase(attempt);
    m_report(request::attempt_lost{attempt});
}

void target_pool::abandon(base::attempt_id attempt) {
    m_exchanges.erase(attempt);
}

http::response target_pool::take_answer(base::attempt_id attempt) {
    return std::move(m_exchanges.at(attempt).answer);
}

} // namespace pollenreel::node
