#include "pollenreel/relay/listener.hpp"

#include "pollenreel/relay/check_codec.hpp"
#include "pollenreel/relay/codec.hpp"
#include "pollenreel/relay/exchange_codec.hpp"

#include <utility>

namespace pollenreel::relay {

namespace {

// The largest planned region has 45 instances.
constexpr std::size_t max_pending_polls = 256;
// Those of polls, and those of instances of other regions.
constexpr std::size_t max_connections = 512;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_unavailable = 503;
constexpr std::uint32_t header_bytes = 1024;
// A poll has a few bytes, and up to 8 keys of 200.
constexpr std::uint64_t poll_body_bytes = 4096;
// A report on 10,000 tenants takes at most 310 kB.
constexpr std::uint64_t exchange_body_bytes = 512ULL * 1024;
// Of the reports that are received at once. Larger than what a region of 45
// instances sends with 10,000 tenants if a tenth of them send whole reports.
constexpr std::size_t exchange_memory = std::size_t{4} * 1024 * 1024;

http::server_options make_server_options(const base::endpoint& at) {
    http::server_options o;
    o.listen = at;
    o.limits = {header_bytes, poll_body_bytes};
    o.budget = std::make_shared<http::receive_budget>(exchange_memory);
    o.max_connections = max_connections;
    return o;
}

} // namespace

listener::listener(boost::asio::io_context& io, const base::endpoint& at,
                   const base::clock& clock, response_source source,
                   value_source values)
    : m_clock(clock), m_source(std::move(source)), m_values(std::move(values)),
      m_server(io, make_server_options(at),
               [this](const http::request& r, http::responder respond) {
                   on_request(r, std::move(respond));
               }) {}

void listener::on_request(const http::request& r, http::responder respond) {
    if (const auto fetch = decode_fetch(r)) {
        return on_fetch(*fetch, respond);
    }
    if (m_exchange && answer_exchange(r, respond)) {
        return;
    }
    if (const auto target = decode_check_request(r); target && m_checks) {
        return m_checks(*target, [respond](const auto& check) {
            respond(check ? encode(*check)
                          : http::response{http_unavailable, {}, ""});
        });
    }
    auto request = decode_request(r);
    if (!request) {
        return respond({http_bad_request, {}, ""});
    }
    request->received_at = m_clock.boot_now();
    const auto response = m_source(*request);
    const bool has_no_news = response.status == fleet::relay_status::current &&
                             response.changes.empty() &&
                             response.deltas.empty() &&
                             response.references.empty();
    if (!has_no_news) {
        return send(respond, encode(response));
    }
    if (m_pending_polls.size() >= max_pending_polls) {
        return send(respond, encode(fleet::relay_response{}));
    }
    m_pending_polls.push_back(
        {*request, m_clock.now() + request->max_wait, std::move(respond)});
}

void listener::respond_to(const pending_poll& poll) {
    send(poll.respond, encode(m_source(poll.request)));
}

void listener::on_fetch(const fleet::value_request& r,
                        const http::responder& respond) {
    const auto value = m_values(r);
    send(respond,
         value ? encode(*value) : http::response{http_unavailable, {}, ""});
}

void listener::send(const http::responder& respond, http::response encoded) {
    ++m_response_count;
    m_response_bytes += encoded.body.size();
    respond(std::move(encoded));
}

void listener::serve_exchange(exchange_handlers h) {
    m_exchange = std::move(h);
    const http::server_options defaults;
    m_server.set_limits({header_bytes, exchange_body_bytes},
                        defaults.header_timeout, defaults.idle_timeout);
}

bool listener::answer_exchange(const http::request& r,
                               const http::responder& respond) {
    std::optional<http::response> answer;
    if (const auto report = decode_report(r)) {
        const auto news = m_exchange->on_report(*report);
        answer =
            news ? encode(*news) : http::response{http_unavailable, {}, ""};
    } else if (const auto asked_by = decode_sums_request(r)) {
        const auto sums = m_exchange->on_sums_request(*asked_by);
        answer =
            sums ? encode(*sums) : http::response{http_unavailable, {}, ""};
    }
    if (answer) {
        m_exchange_bytes += r.body.size() + answer->body.size();
        respond(std::move(*answer));
    }
    return answer.has_value();
}

void listener::on_progress() {
    for (const auto& poll : std::exchange(m_pending_polls, {})) {
        respond_to(poll);
    }
}

void listener::tick() {
    const auto now = m_clock.now();
    std::list<pending_poll> expired;
    for (auto i = m_pending_polls.begin(); i != m_pending_polls.end();) {
        const auto here = i++;
        if (now >= here->deadline) {
            expired.splice(expired.end(), m_pending_polls, here);
        }
    }
    for (const auto& poll : expired) {
        respond_to(poll);
    }
}

} // namespace pollenreel::relay
