#include "pollenreel/store/etcd_client.hpp"

#include "pollenreel/http/client_stream.hpp"
#include "pollenreel/http/error.hpp"
#include "pollenreel/store/etcd_codec.hpp"

#include <utility>

namespace pollenreel::store {

namespace {

// A value may be a megabyte; base64 and JSON add a third and some.
constexpr http::limits answer_limits{16 * 1024, 4ULL * 1024 * 1024};
constexpr unsigned http_ok = 200;
// Longest line of a watch: some changes of a megabyte each.
constexpr std::size_t most_line_bytes = 8ULL * 1024 * 1024;

reply to_reply(const request& asked,
               const base::result<http::response>& answer) {
    if (!answer) {
        const bool not_received =
            answer.error().code ==
            http::make_error_code(http::error::connect_failed);
        return not_received ? reply(unreachable{}) : reply(unanswered{});
    }
    if (answer.value().status != http_ok) {
        return etcd::decode_refusal(asked, answer.value().status);
    }
    return etcd::decode(asked, answer.value().body)
        .value_or(reply(unanswered{}));
}

http::request to_post(const etcd::call& c) {
    http::request post;
    post.method = "POST";
    post.path = c.path;
    post.headers = {{"Content-Type", "application/json"}};
    post.body = c.body;
    return post;
}

} // namespace

namespace {

class watch_state : public std::enable_shared_from_this<watch_state> {
public:
    watch_state(boost::asio::io_context& io, etcd_client::reported on)
        : m_stream(io), m_on(std::move(on)) {}

    void start(const base::endpoint& at, const watch& w,
               std::chrono::milliseconds timeout) {
        m_stream.open(at, to_post(etcd::encode(w)), timeout,
                      {[self = shared_from_this()](std::string_view bytes) {
                           self->on_bytes(bytes);
                       },
                       [self = shared_from_this()](const base::failure&) {
                           self->report(watch_cut{});
                       }});
    }

    void close() {
        m_on = nullptr;
        m_stream.close();
    }

private:
    void on_bytes(std::string_view bytes) {
        m_line += bytes;
        for (auto end = m_line.find('\n'); end != std::string::npos;
             end = m_line.find('\n')) {
            const auto line = m_line.substr(0, end);
            m_line.erase(0, end + 1);
            report(etcd::decode_watch_line(line).value_or(watch_cut{}));
            if (m_on == nullptr) {
                return;
            }
        }
        if (m_line.size() > most_line_bytes) {
            report(watch_cut{});
        }
    }

    void report(const watch_report& r) {
        if (m_on == nullptr) {
            return;
        }
        const bool over = std::holds_alternative<watch_cut>(r) ||
                          std::holds_alternative<watch_compacted>(r);
        const auto on = m_on; // the callback may close this watch
        if (over) {
            close();
        }
        on(r);
    }

    http::client_stream m_stream;
    etcd_client::reported m_on;
    std::string m_line;
};

class etcd_watch final : public open_watch {
public:
    explicit etcd_watch(std::shared_ptr<watch_state> s)
        : m_state(std::move(s)) {}
    etcd_watch(const etcd_watch&) = delete;
    etcd_watch& operator=(const etcd_watch&) = delete;
    ~etcd_watch() override { m_state->close(); }

private:
    std::shared_ptr<watch_state> m_state;
};

} // namespace

etcd_client::etcd_client(boost::asio::io_context& io,
                         std::vector<base::endpoint> endpoints,
                         std::chrono::milliseconds timeout)
    : m_io(&io), m_client(io, answer_limits), m_endpoints(std::move(endpoints)),
      m_timeout(timeout) {}

void etcd_client::use_next_endpoint() {
    m_current = (m_current + 1) % m_endpoints.size();
}

void etcd_client::call(const request& r, replied done) {
    m_client.call(m_endpoints[m_current], to_post(etcd::encode(r)), m_timeout,
                  [this, r, done = std::move(done)](
                      const base::result<http::response>& a) {
                      if (!a) {
                          use_next_endpoint();
                      }
                      done(to_reply(r, a));
                  });
}

std::unique_ptr<open_watch> etcd_client::open(const watch& w, reported on) {
    auto opened = std::make_shared<watch_state>(*m_io, std::move(on));
    opened->start(m_endpoints[m_current], w, m_timeout);
    return std::make_unique<etcd_watch>(std::move(opened));
}

} // namespace pollenreel::store
