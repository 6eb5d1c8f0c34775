#include "pollenreel/relay/exchange_client.hpp"

#include "pollenreel/relay/exchange_codec.hpp"

#include <utility>

namespace pollenreel::relay {

namespace {

// A round trip between regions takes 70 ms.
constexpr std::chrono::milliseconds connect_timeout{150};
// News on 10,000 tenants take 260 kB.
constexpr http::limits answer_limits{8 * 1024, 1024ULL * 1024};

} // namespace

exchange_client::exchange_client(boost::asio::io_context& io)
    : m_client(io, answer_limits, connect_timeout) {}

void exchange_client::report(const base::endpoint& to,
                             const fleet::exchange_report& r,
                             std::chrono::milliseconds timeout,
                             news_handler on_news) {
    auto message = encode(r);
    m_bytes += message.body.size();
    m_client.call(to, std::move(message), timeout,
                  [this, on_news = std::move(on_news)](
                      const base::result<http::response>& answer) {
                      m_bytes += answer ? answer.value().body.size() : 0;
                      on_news(answer ? decode_news(answer.value())
                                     : std::nullopt);
                  });
}

void exchange_client::ask_sums(const base::endpoint& at,
                               const base::region_id& own,
                               std::chrono::milliseconds timeout,
                               sums_handler on_sums) {
    auto message = encode_sums_request(own);
    m_bytes += message.body.size();
    m_client.call(at, std::move(message), timeout,
                  [this, on_sums = std::move(on_sums)](
                      const base::result<http::response>& answer) {
                      m_bytes += answer ? answer.value().body.size() : 0;
                      on_sums(answer ? decode_sums(answer.value())
                                     : std::nullopt);
                  });
}

} // namespace pollenreel::relay
