#include "pollenreel/store/etcd_client.hpp"

#include "pollenreel/http/client_stream.hpp"
#include "pollenreel/http/error.hpp"
#include "pollenreel/store/etcd_codec.hpp"

#include <algorithm>
#include <utility>

namespace pollenreel::store {

namespace {

// A value may have a megabyte; base64 and JSON add more than a third.
constexpr http::limits response_limits{16 * 1024, 4ULL * 1024 * 1024};
// For such a value on a link that other traffic fills.
constexpr std::chrono::milliseconds max_body_time{10'000};
constexpr unsigned http_ok = 200;
// A line of a watch may contain several changes of a megabyte each.
constexpr std::size_t max_line_bytes = 8ULL * 1024 * 1024;

reply to_reply(const request& sent,
               const base::result<http::response>& response) {
    if (!response) {
        const bool not_received =
            response.error().code ==
            http::make_error_code(http::error::connect_failed);
        return not_received ? reply(unreachable{}) : reply(unanswered{});
    }
    if (response.value().status != http_ok) {
        return etcd::decode_error_status(sent, response.value().status);
    }
    return etcd::decode(sent, response.value().body)
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
    watch_state(boost::asio::io_context& io,
                etcd_client::report_handler on_report)
        : m_stream(io), m_on_report(std::move(on_report)) {}

    void start(const base::endpoint& at, const watch& w,
               std::chrono::milliseconds timeout) {
        m_stream.open(at, to_post(etcd::encode(w)), timeout,
                      {[self = shared_from_this()](std::string_view bytes) {
                           self->on_bytes(bytes);
                       },
                       [self = shared_from_this()](const base::failure&) {
                           self->report(watch_closed{});
                       }});
    }

    void close() {
        m_on_report = nullptr;
        m_stream.close();
    }

private:
    void on_bytes(std::string_view bytes) {
        m_line += bytes;
        for (auto end = m_line.find('\n'); end != std::string::npos;
             end = m_line.find('\n')) {
            const auto line = m_line.substr(0, end);
            m_line.erase(0, end + 1);
            report(etcd::decode_watch_line(line).value_or(watch_closed{}));
            if (m_on_report == nullptr) {
                return;
            }
        }
        if (m_line.size() > max_line_bytes) {
            report(watch_closed{});
        }
    }

    void report(const watch_report& r) {
        if (m_on_report == nullptr) {
            return;
        }
        const bool is_final = std::holds_alternative<watch_closed>(r) ||
                              std::holds_alternative<watch_compacted>(r);
        const auto on_report = m_on_report; // the callback may close this watch
        if (is_final) {
            close();
        }
        on_report(r);
    }

    http::client_stream m_stream;
    etcd_client::report_handler m_on_report;
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
    : m_io(&io), m_client(io, response_limits),
      m_endpoints(std::move(endpoints)), m_timeout(timeout) {}

void etcd_client::use_next_endpoint() {
    m_endpoint_index = (m_endpoint_index + 1) % m_endpoints.size();
}

void etcd_client::call(const request& r, reply_handler on_reply) {
    http::answer_terms terms;
    terms.body_time = {m_timeout, std::max(m_timeout, max_body_time)};
    m_client.call(
        m_endpoints[m_endpoint_index], to_post(etcd::encode(r)), m_timeout,
        [this, r, on_reply = std::move(on_reply)](
            const base::result<http::response>& a) {
            if (!a) {
                use_next_endpoint();
            }
            on_reply(to_reply(r, a));
        },
        std::move(terms));
}

std::unique_ptr<open_watch> etcd_client::open(const watch& w,
                                              report_handler on_report) {
    auto opened = std::make_shared<watch_state>(*m_io, std::move(on_report));
    opened->start(m_endpoints[m_endpoint_index], w, m_timeout);
    return std::make_unique<etcd_watch>(std::move(opened));
}

} // namespace pollenreel::store
