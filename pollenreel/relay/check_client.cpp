#include "pollenreel/relay/check_client.hpp"

#include "pollenreel/asio/call_within.hpp"
#include "pollenreel/relay/check_codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pollenreel::relay {

namespace {

using namespace std::chrono_literals;

// From the question to the answer. A round trip between regions takes 70 ms,
// and after this time the sender has lost nothing by checking itself.
constexpr std::chrono::milliseconds answer_timeout{150};
// A peer that did not answer is not asked for so long.
constexpr std::chrono::milliseconds failure_memory{3000};
// A question that has to wait for a connection is answered too late.
constexpr int connections_ahead = 2;
constexpr http::limits answer_limits{1024, 1024};

} // namespace

check_client::check_client(boost::asio::io_context& io,
                           const base::clock& clock)
    : m_io(io), m_clock(clock), m_client(io, answer_limits, answer_timeout) {}

void check_client::ask(const request::chosen_target& target,
                       const std::vector<base::endpoint>& peers, handler done) {
    const auto now = m_clock.now();
    std::erase_if(m_failed_at, [&](const auto& one) {
        return now - one.second >= failure_memory;
    });
    const auto peer =
        std::find_if(peers.begin(), peers.end(),
                     [&](const auto& p) { return !m_failed_at.contains(p); });
    if (peer == peers.end()) {
        return boost::asio::post(m_io, [done = std::move(done)] { done({}); });
    }
    m_client.call(
        *peer, encode(target), answer_timeout,
        [this, to = *peer,
         finish = asio::call_within<request::target_check>(m_io, answer_timeout,
                                                           std::move(done))](
            const base::result<http::response>& answer) {
            if (!answer) {
                m_failed_at[to] = m_clock.now();
            }
            finish(answer ? decode_check(answer.value()) : std::nullopt);
        });
}

void check_client::connect(const base::endpoint& peer) {
    for (int n = 0; n < connections_ahead; ++n) {
        // Answered with a refusal, after which the connection is idle.
        m_client.call(peer, encode(request::chosen_target{}), answer_timeout,
                      [](const auto&) {});
    }
}

} // namespace pollenreel::relay
