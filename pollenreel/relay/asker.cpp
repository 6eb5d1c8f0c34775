#include "pollenreel/relay/asker.hpp"

#include "pollenreel/relay/codec.hpp"

#include <utility>

namespace pollenreel::relay {

namespace {

// Between instances of a region a connection takes a few milliseconds.
constexpr std::chrono::milliseconds connect_timeout{300};
// The largest value of the store, a megabyte, and some.
constexpr http::limits answer_limits{8 * 1024, 8ULL * 1024 * 1024};

} // namespace

asker::asker(boost::asio::io_context& io)
    : m_client(io, answer_limits, connect_timeout) {}

void asker::ask(const base::endpoint& at, const fleet::relay_request& a,
                std::chrono::milliseconds timeout, answered done) {
    m_client.call(at, encode(a), timeout,
                  [this, number = ++m_number, done = std::move(done)](
                      const base::result<http::response>& r) {
                      if (number == m_number) {
                          done(r ? decode_answer(r.value()) : std::nullopt);
                      }
                  });
}

std::string_view problem_of(const std::optional<fleet::relay_response>& a) {
    if (!a) {
        return "no answer";
    }
    switch (a->status) {
    case fleet::relay_status::behind:
        return "behind";
    case fleet::relay_status::not_watching:
        return "not watching";
    case fleet::relay_status::current:
        break;
    }
    return "old, or another one is asked";
}

} // namespace pollenreel::relay
