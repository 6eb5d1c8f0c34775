#include "pollenreel/store/etcd_client.hpp"

#include "pollenreel/http/error.hpp"
#include "pollenreel/store/etcd_codec.hpp"

namespace pollenreel::store {

namespace {

// A value may be a megabyte; base64 and JSON add a third and some.
constexpr http::limits answer_limits{16 * 1024, 4ULL * 1024 * 1024};
constexpr unsigned http_ok = 200;

reply to_reply(const request& asked,
               const base::result<http::response>& answer) {
    if (!answer) {
        const bool not_received =
            answer.error().code ==
            http::make_error_code(http::error::connect_failed);
        return not_received ? reply(unreachable{}) : reply(unanswered{});
    }
    if (answer.value().status != http_ok) {
        return unanswered{};
    }
    return etcd::decode(asked, answer.value().body)
        .value_or(reply(unanswered{}));
}

} // namespace

etcd_client::etcd_client(boost::asio::io_context& io,
                         std::vector<base::endpoint> endpoints,
                         std::chrono::milliseconds timeout)
    : m_client(io, answer_limits), m_endpoints(std::move(endpoints)),
      m_timeout(timeout) {}

void etcd_client::call(const request& r, replied done) {
    const auto encoded = etcd::encode(r);
    http::request post;
    post.method = "POST";
    post.path = encoded.path;
    post.headers = {{"Content-Type", "application/json"}};
    post.body = encoded.body;
    m_client.call(m_endpoints[m_current], std::move(post), m_timeout,
                  [this, r, done = std::move(done)](
                      const base::result<http::response>& a) {
                      if (!a) {
                          m_current = (m_current + 1) % m_endpoints.size();
                      }
                      done(to_reply(r, a));
                  });
}

} // namespace pollenreel::store
