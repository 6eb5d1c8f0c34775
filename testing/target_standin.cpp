#include "testing/target_standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <memory>

namespace pollenreel::testing {

namespace {

constexpr const char* request_id_header = "Pollenreel-Request-Id";

http::headers echo(const http::request& r) {
    const auto id = http::find(r.headers, request_id_header);
    return {{request_id_header, std::string(id.value_or(""))}};
}

http::server_options server_options(const target_options& o) {
    http::server_options s;
    s.listen = o.listen;
    return s;
}

} // namespace

target_standin::target_standin(boost::asio::io_context& io,
                               target_options options)
    : m_io(io), m_options(std::move(options)),
      m_server(io, server_options(m_options),
               [this](http::request r, http::responder answer) {
                   on_request(std::move(r), std::move(answer));
               }) {}

base::result<void> target_standin::start() {
    return m_server.start();
}

void target_standin::on_request(http::request r, http::responder answer) {
    if (r.path == "/standin/counts") {
        return answer({200, {}, counts_json()});
    }
    if (m_busy < m_options.slots) {
        return start_work({std::move(r), std::move(answer)});
    }
    if (m_queue.size() < m_options.queue_length) {
        m_queue.push_back({std::move(r), std::move(answer)});
        return;
    }
    ++m_shed;
    auto headers = echo(r);
    headers.push_back({"Pollenreel-Shed", "1"});
    answer({503, headers, "shed\n"});
}

void target_standin::start_work(work w) {
    ++m_busy;
    ++m_ran;
    if (const auto order = http::find(w.request.headers, "Order-Id")) {
        ++m_orders[std::string(*order)];
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_after(m_options.service_time);
    timer->async_wait([this, timer, w = std::move(w)](const auto& e) {
        if (!e) {
            finish_work(w);
        }
    });
}

void target_standin::finish_work(const work& w) {
    w.answer({200, echo(w.request), w.request.path + "\n"});
    --m_busy;
    if (!m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        start_work(std::move(next));
    }
}

std::string target_standin::counts_json() const {
    std::uint64_t doubled = 0;
    boost::json::object orders;
    for (const auto& [id, times] : m_orders) {
        orders[id] = times;
        doubled += times > 1 ? 1 : 0;
    }
    return boost::json::serialize(boost::json::object{{"ran", m_ran},
                                                      {"shed", m_shed},
                                                      {"doubled", doubled},
                                                      {"orders", orders}});
}

} // namespace pollenreel::testing
