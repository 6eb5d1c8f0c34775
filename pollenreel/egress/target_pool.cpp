#include "pollenreel/egress/target_pool.hpp"

#include "pollenreel/asio/call_within.hpp"
#include "pollenreel/http/error.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenreel::egress {

namespace {

using std::chrono::milliseconds;

// An attempt on a reused connection that got no response for this long makes
// the other connections that were idle since then suspect. A lower value
// replaces them sooner and causes more connects to a slow target.
constexpr milliseconds suspect_after{250};

// A turn reads from 512 bytes up; a response of 60 kB took more than 64 turns.
// A target that sends without end must not hold up the expiry of other
// requests.
constexpr int max_reads_first = 256;

// Age up to which a peer's check holds for a connection. A target that
// restarts is away for longer.
constexpr milliseconds max_peer_check_age{50};

// Age up to which a check for one peer is the answer to the next. With that at
// the peer and the message's way it stays below the absence of a target that
// restarts.
constexpr milliseconds max_shared_check_age{100};

} // namespace

target_pool::target_pool(boost::asio::io_context& io, const base::clock& clock,
                         target_pool_options options, response_reader reader,
                         event_handler on_event, check_reader read_check,
                         peer_check ask_peer)
    : m_io(io), m_clock(clock), m_options(options),
      m_budget(
          std::make_shared<http::receive_budget>(options.max_receiving_bytes)),
      m_reader(std::move(reader)), m_on_event(std::move(on_event)),
      m_read_check(std::move(read_check)), m_ask_peer(std::move(ask_peer)),
      m_tracker(m_options.connections) {}

void target_pool::open(const request::open_attempt& o) {
    const auto id = o.attempt;
    const auto now = m_clock.now();
    while (const auto idle =
               m_tracker.acquire_idle(o.target.address, o.idempotent, now)) {
        if (!m_connections.at(*idle)->reusable()) {
            m_tracker.on_lost(*idle, now);
            close(*idle);
            continue;
        }
        if (o.close_surplus) {
            close_idle_beyond(o.target.address, o.max_connections);
        }
        m_exchanges[id] = {*idle, now, o.deadline, true, {}};
        boost::asio::post(
            m_io, [this, id] { m_on_event(request::attempt_connected{id}); });
        return;
    }
    close_idle_beyond(o.target.address, std::max(1U, o.max_connections) - 1);
    m_exchanges[id] = {{}, now, o.deadline, false, {}};
    if (m_ask_peer && !o.check_path.empty() && !o.check_peers.empty()) {
        ask_peer(o);
    }
    connect(id, {o.target, o.check_path});
}

void target_pool::ask_peer(const request::open_attempt& o) {
    m_exchanges.at(o.attempt).asked =
        asked_check{true, std::nullopt, {}, std::nullopt};
    m_ask_peer(o.target, o.check_peers,
               [this, id = o.attempt](const auto& answer) {
                   on_peer_answer(id, answer);
               });
}

void target_pool::on_peer_answer(
    base::attempt_id attempt,
    const std::optional<request::target_check>& answer) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    auto& asked = *found->second.asked;
    asked.is_pending = false;
    asked.answer = answer;
    asked.answered_at = m_clock.now();
    if (auto waiting = std::exchange(asked.waiting, {})) {
        on_connected(attempt, std::move(*waiting));
    }
}

void target_pool::on_connected(base::attempt_id attempt, pending_check c) {
    if (c.path.empty() || !m_read_check) {
        return m_on_event(request::attempt_connected{attempt, c.result, true});
    }
    auto& asked = m_exchanges.at(attempt).asked;
    if (asked && asked->is_pending) {
        asked->waiting = std::move(c);
        return;
    }
    if (asked && asked->answer &&
        m_clock.now() - asked->answered_at <= max_peer_check_age) {
        return report_checked(attempt, *asked->answer);
    }
    check(attempt, std::move(c));
}

void target_pool::report_checked(base::attempt_id attempt,
                                 const request::target_check& c) {
    if (!m_connections.at(m_exchanges.at(attempt).connection)->reusable()) {
        return report_connect_failed(attempt);
    }
    ++m_checked_by_peers;
    m_on_event(request::attempt_connected{attempt, c, true});
}

milliseconds target_pool::time_for(const exchange& e,
                                   milliseconds limit) const {
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(e.deadline - m_clock.now());
    return std::clamp(remaining, milliseconds(1), limit);
}

void target_pool::connect(base::attempt_id attempt, pending_check c) {
    auto& e = m_exchanges.at(attempt);
    m_last_connection = m_last_connection.next();
    auto connection = std::make_shared<http::client_connection>(m_io);
    m_connections[m_last_connection] = connection;
    m_tracker.on_opened(m_last_connection, c.target.address);
    e.connection = m_last_connection;
    const auto to = c.target.address;
    connection->connect(
        to, time_for(e, m_options.connect_timeout),
        [this, attempt, c = std::move(c)](const base::result<void>& connected) {
            if (!connected) {
                return report_connect_failed(attempt);
            }
            on_connected(attempt, c);
        });
}

void target_pool::check(base::attempt_id attempt, pending_check c) {
    const auto& e = m_exchanges.at(attempt);
    http::request r;
    r.path = c.path;
    http::answer_terms terms;
    terms.budget = m_budget;
    m_connections.at(e.connection)
        ->exchange(
            std::move(r), m_options.response_limits,
            time_for(e, m_options.check_timeout),
            [this, attempt,
             c = std::move(c)](const base::result<http::response>& answer) {
                on_checked(attempt, c, answer);
            },
            std::move(terms));
}

void target_pool::on_checked(base::attempt_id attempt, pending_check c,
                             const base::result<http::response>& answer) {
    if (!answer) {
        return report_connect_failed(attempt);
    }
    const auto& e = m_exchanges.at(attempt);
    const auto result = m_read_check(answer.value(), c.target.id);
    if (!result.identified) {
        // A second copy of this answer, or the answer that it displaced, would
        // pass for the refusal of the request: neither names what it answers.
        c.path.clear();
        c.result = result;
    } else if (m_connections.at(e.connection)->reusable()) {
        return m_on_event(request::attempt_connected{attempt, result, true});
    } else if (!std::exchange(c.may_reconnect, false)) {
        return report_connect_failed(attempt);
    }
    close(e.connection);
    connect(attempt, std::move(c));
}

void target_pool::check_for_peer(const request::chosen_target& target,
                                 const std::string& path, check_handler done) {
    const auto now = m_clock.now();
    auto& shared = m_shared_checks[target];
    if (shared.result && now - shared.checked_at <= max_shared_check_age) {
        return done(shared.result);
    }
    shared.result.reset();
    shared.waiting.push_back(asio::call_within<request::target_check>(
        m_io, m_options.peer_check_timeout, std::move(done)));
    if (shared.waiting.size() > 1) {
        return;
    }
    // A connection carries at most one check, its first exchange. Of two checks
    // on one connection a second copy of the first one's answer could pass for
    // that of the second, whose own answer then met a request.
    m_last_connection = m_last_connection.next();
    const auto id = m_last_connection;
    auto connection = std::make_shared<http::client_connection>(m_io);
    m_connections[id] = connection;
    m_tracker.on_opened(id, target.address);
    connection->connect(target.address, m_options.connect_timeout,
                        [this, id, target, path](const auto& connected) {
                            if (connected) {
                                return exchange_check(id, target, path);
                            }
                            close(id);
                            on_checked_for_peers(target, {});
                        });
}

void target_pool::exchange_check(request::connection_id id,
                                 const request::chosen_target& target,
                                 const std::string& path) {
    http::request r;
    r.path = path;
    http::answer_terms terms;
    terms.budget = m_budget;
    m_connections.at(id)->exchange(
        std::move(r), m_options.response_limits, m_options.check_timeout,
        [this, id, target](const base::result<http::response>& answer) {
            if (!answer) {
                close(id);
                return on_checked_for_peers(target, {});
            }
            const auto c = m_read_check(answer.value(), target.id);
            const bool has_idle =
                m_tracker.oldest_idle(target.address).has_value();
            if (c.identified && !c.wrong_target && !has_idle &&
                m_connections.at(id)->reusable()) {
                m_tracker.on_answered(id, m_clock.now(),
                                      m_reader(answer.value(), {}).keep_alive);
            } else {
                close(id);
            }
            on_checked_for_peers(target, c.tells || c.wrong_target
                                             ? std::optional(c)
                                             : std::nullopt);
        },
        std::move(terms));
}

void target_pool::on_checked_for_peers(
    const request::chosen_target& target,
    const std::optional<request::target_check>& result) {
    auto& shared = m_shared_checks.at(target);
    shared.result = result;
    shared.checked_at = m_clock.now();
    for (const auto& done : std::exchange(shared.waiting, {})) {
        done(result);
    }
}

void target_pool::report_connect_failed(base::attempt_id attempt) {
    close(m_exchanges.at(attempt).connection);
    m_exchanges.erase(attempt);
    m_on_event(request::attempt_connect_failed{attempt});
}

void target_pool::close_idle_beyond(const base::endpoint& target,
                                    std::size_t most) {
    while (m_tracker.count_open(target) > most) {
        const auto oldest = m_tracker.oldest_idle(target);
        if (!oldest) {
            return;
        }
        close(*oldest);
    }
}

void target_pool::send(base::attempt_id attempt, http::request r,
                       const std::string& request_id, milliseconds limit) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    http::answer_terms terms;
    terms.allow_close_delimited = m_options.allow_close_delimited;
    terms.budget = m_budget;
    terms.owner_checks_path = true;
    if (m_options.skip_mismatched) {
        terms.matches = [this, request_id](const http::response& candidate) {
            return m_reader(candidate, request_id).id_matches;
        };
    }
    m_connections.at(found->second.connection)
        ->exchange(
            std::move(r), m_options.response_limits, limit,
            [this, attempt, request_id](base::result<http::response> response) {
                on_response(attempt, request_id, std::move(response));
            },
            std::move(terms));
}

void target_pool::on_response(base::attempt_id attempt,
                              const std::string& request_id,
                              base::result<http::response> response) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return;
    }
    if (!response) {
        if (response.error().code ==
            http::make_error_code(http::error::too_large)) {
            ++m_cut_off;
        }
        return report_lost(attempt,
                           response.error().code !=
                               http::make_error_code(http::error::timed_out));
    }
    auto& e = found->second;
    auto info = m_reader(response.value(), request_id);
    info.bytes = response.value().body.size();
    release(e, info);
    e.response = std::move(response.value());
    m_on_event(request::attempt_answered{attempt, info});
    m_exchanges.erase(attempt);
}

void target_pool::release(const exchange& e,
                          const request::response_info& info) {
    // Without the id, a late repetition of this response would pass for the
    // response to the next request. After a wrong target the same id may be
    // sent to this address again.
    const bool is_unambiguous = info.echoes_id && !info.wrong_target;
    if (is_unambiguous && m_connections.at(e.connection)->reusable()) {
        return m_tracker.on_answered(e.connection, m_clock.now(),
                                     info.keep_alive);
    }
    if (!info.id_matches) {
        // The request itself is unanswered.
        m_connections.at(e.connection)->reset();
    }
    close(e.connection);
}

void target_pool::close_unanswered(const exchange& e, bool broken) {
    if (broken) {
        m_tracker.on_lost(e.connection, m_clock.now());
    } else if (m_clock.now() - e.started_at >= suspect_after) {
        m_tracker.on_silent(e.connection);
    }
    if (e.reused && m_clock.now() - e.started_at >= suspect_after) {
        for (const auto id :
             m_tracker.find_suspects(e.connection, e.started_at)) {
            close(id);
        }
    }
    close(e.connection);
}

void target_pool::close(request::connection_id id) {
    m_tracker.on_closed(id);
    m_connections.erase(id);
}

void target_pool::report_lost(base::attempt_id attempt, bool broken) {
    const auto e = std::move(m_exchanges.at(attempt));
    m_exchanges.erase(attempt);
    close_unanswered(e, broken);
    m_on_event(request::attempt_lost{attempt});
}

std::optional<abandoned_attempt>
target_pool::abandon(base::attempt_id attempt) {
    const auto found = m_exchanges.find(attempt);
    if (found == m_exchanges.end()) {
        return std::nullopt;
    }
    const auto e = std::move(found->second);
    m_exchanges.erase(found);
    abandoned_attempt a{m_clock.now() - e.started_at,
                        m_connections.at(e.connection)->unanswered()};
    close_unanswered(e, false);
    return a;
}

bool target_pool::must_read_first() {
    const auto now = m_clock.now();
    const bool is_ready = std::any_of(
        m_exchanges.begin(), m_exchanges.end(), [&](const auto& one) {
            const auto& e = one.second;
            return e.deadline <= now &&
                   m_connections.at(e.connection)->answer_begun();
        });
    if (!is_ready || m_reads_first == max_reads_first) {
        m_reads_first = 0;
        return false;
    }
    ++m_reads_first;
    return true;
}

http::response target_pool::take_response(base::attempt_id attempt) {
    return std::move(m_exchanges.at(attempt).response);
}

void target_pool::close_expired() {
    const auto now = m_clock.now();
    for (const auto id : m_tracker.find_expired(now)) {
        close(id);
    }
    std::erase_if(m_shared_checks, [&](const auto& one) {
        return one.second.waiting.empty() &&
               now - one.second.checked_at > max_shared_check_age;
    });
    std::vector<base::attempt_id> stalled;
    for (const auto& [attempt, e] : m_exchanges) {
        if (m_connections.at(e.connection)->is_stalled(now)) {
            stalled.push_back(attempt);
        }
    }
    for (const auto attempt : stalled) {
        if (m_exchanges.contains(attempt)) {
            report_lost(attempt, true);
        }
    }
}

} // namespace pollenreel::egress
