#include "pollenreel/relay/listener.hpp"

#include "pollenreel/relay/codec.hpp"

#include <utility>

namespace pollenreel::relay {

namespace {

// Instances of one region that can wait at once; at the size to come a region
// has 45.
constexpr std::size_t most_waiting = 256;
constexpr unsigned http_bad_request = 400;

http::server_options listening(const base::endpoint& at) {
    http::server_options o;
    o.listen = at;
    o.limits = {1024, 1024}; // an ask takes a few bytes
    o.max_connections = most_waiting;
    return o;
}

} // namespace

listener::listener(boost::asio::io_context& io, const base::endpoint& at,
                   const base::clock& clock, source answers)
    : m_clock(clock), m_answers(std::move(answers)),
      m_server(io, listening(at),
               [this](const http::request& r, http::responder answer) {
                   on_request(r, std::move(answer));
               }) {}

void listener::on_request(const http::request& r, http::responder answer) {
    const auto ask = decode_ask(r);
    if (!ask) {
        return answer({http_bad_request, {}, ""});
    }
    const auto now = m_answers(ask->known_revision);
    const bool nothing_new =
        now.status == fleet::relay_status::current && now.changes.empty();
    if (!nothing_new) {
        ++m_answered;
        return answer(encode(now));
    }
    if (m_waiting.size() >= most_waiting) {
        ++m_answered;
        return answer(encode(fleet::relay_response{}));
    }
    m_waiting.push_back(
        {*ask, m_clock.now() + ask->max_wait, std::move(answer)});
}

void listener::answer(const waiting& w) {
    ++m_answered;
    w.answer(encode(m_answers(w.ask.known_revision)));
}

void listener::on_progress() {
    for (const auto& w : std::exchange(m_waiting, {})) {
        answer(w);
    }
}

void listener::tick() {
    const auto now = m_clock.now();
    std::list<waiting> over;
    for (auto i = m_waiting.begin(); i != m_waiting.end();) {
        const auto here = i++;
        if (now >= here->until) {
            over.splice(over.end(), m_waiting, here);
        }
    }
    for (const auto& w : over) {
        answer(w);
    }
}

} // namespace pollenreel::relay
