#include "testing/target_standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace pollenreel::testing {

namespace {

constexpr const char* request_id_header = "Pollenreel-Request-Id";
constexpr std::array<std::string_view, 8> mode_names = {
    "normal",  "shed_all",  "crossed",  "silent",
    "closing", "truncated", "draining", "endless"};
constexpr std::uint32_t whole = 100; // percent

std::string request_id(const http::request& r) {
    return std::string(http::find(r.headers, request_id_header).value_or(""));
}

http::server_options server_options(const target_options& o) {
    http::server_options s;
    s.listen = o.listen;
    return s;
}

std::uint64_t doubled(const std::map<std::string, std::uint64_t>& runs) {
    return static_cast<std::uint64_t>(std::count_if(
        runs.begin(), runs.end(), [](const auto& r) { return r.second > 1; }));
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
    if (r.path.starts_with("/standin/behaviour")) {
        return answer({200, {}, set_behaviour(r.path)});
    }
    if (r.path == "/load") {
        return answer({200, {}, reported_load()});
    }
    if (r.path == "/healthz") {
        const bool leaving = behaviour.mode == target_mode::draining;
        return answer({leaving ? 503U : 200U, {}, leaving ? "leaving" : "ok"});
    }
    on_work(std::move(r), std::move(answer));
}

void target_standin::on_work(http::request r, http::responder answer) {
    if (behaviour.mode == target_mode::shed_all ||
        behaviour.mode == target_mode::draining) {
        return refuse(r, answer);
    }
    const auto id = request_id(r);
    if (m_busy < m_options.slots) {
        return start_work({std::move(r), std::move(answer), id});
    }
    if (m_queue.size() >= m_options.queue_length) {
        return refuse(r, answer);
    }
    answer.on_gone([this, id] {
        m_cancelled +=
            std::erase_if(m_queue, [&](const work& w) { return w.id == id; });
    });
    m_queue.push_back({std::move(r), std::move(answer), id});
    note_load();
}

void target_standin::refuse(const http::request& r,
                            const http::responder& answer) {
    ++m_shed;
    answer({503,
            {{request_id_header, request_id(r)}, {"Pollenreel-Shed", "1"}},
            "shed\n"});
}

void target_standin::start_work(work w) {
    ++m_busy;
    ++m_ran;
    ++m_requests[w.id];
    note_load();
    if (const auto order = http::find(w.request.headers, "Order-Id")) {
        ++m_orders[std::string(*order)];
    }
    const auto time = m_options.service_time * behaviour.slow_percent / whole;
    if (time.count() == 0) {
        return finish_work(w);
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_after(time);
    timer->async_wait([this, timer, w = std::move(w)](const auto& e) {
        if (!e) {
            finish_work(w);
        }
    });
}

void target_standin::finish_work(const work& w) {
    answer(w);
    --m_busy;
    note_load();
    if (!m_queue.empty()) {
        auto next = std::move(m_queue.front());
        m_queue.pop_front();
        start_work(std::move(next));
    }
}

void target_standin::answer(const work& w) {
    const http::headers own{{request_id_header, w.id}};
    const auto body = w.request.path + "\n";
    switch (behaviour.mode) {
    case target_mode::crossed:
        return w.answer({200, {{request_id_header, w.id + "x"}}, body});
    case target_mode::silent:
        return;
    case target_mode::closing:
        return w.answer.abort("");
    case target_mode::endless:
        return w.answer.flood("HTTP/1.1 200 OK\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              "400\r\n" + std::string(0x400, 'x') + "\r\n");
    case target_mode::truncated:
        return w.answer.abort("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n" +
                              std::string(request_id_header) + ": " + w.id +
                              "\r\n\r\ncut");
    default:
        return w.answer({200, own, body});
    }
}

void target_standin::note_load() {
    m_loads.push_back(
        {std::chrono::steady_clock::now(), m_busy + m_queue.size()});
    const auto kept_from = m_loads.back().at - behaviour.report_lag;
    while (m_loads.size() > 1 && m_loads[1].at <= kept_from) {
        m_loads.pop_front();
    }
}

std::string target_standin::reported_load() {
    note_load();
    const auto load = m_loads.front().load * behaviour.report_percent / whole;
    return boost::json::serialize(
        boost::json::object{{"load", load}, {"slots", m_options.slots}});
}

std::string target_standin::counts_json() const {
    boost::json::object orders;
    for (const auto& [id, times] : m_orders) {
        orders[id] = times;
    }
    return boost::json::serialize(
        boost::json::object{{"ran", m_ran},
                            {"shed", m_shed},
                            {"cancelled", m_cancelled},
                            {"doubled", doubled(m_orders)},
                            {"doubled_requests", doubled(m_requests)},
                            {"orders", orders}});
}

std::string target_standin::set_behaviour(std::string_view path) {
    const auto url = boost::urls::parse_origin_form(path);
    if (!url) {
        return "bad path";
    }
    for (const auto& p : url->params()) {
        if (p.key == "mode") {
            const auto* found =
                std::find(mode_names.begin(), mode_names.end(), p.value);
            if (found == mode_names.end()) {
                return "unknown mode";
            }
            behaviour.mode =
                static_cast<target_mode>(found - mode_names.begin());
        } else if (p.key == "slow_percent") {
            behaviour.slow_percent =
                static_cast<std::uint32_t>(std::stoul(p.value));
        } else if (p.key == "report_lag_ms") {
            behaviour.report_lag =
                std::chrono::milliseconds(std::stol(p.value));
        } else if (p.key == "report_percent") {
            behaviour.report_percent =
                static_cast<std::uint32_t>(std::stoul(p.value));
        } else {
            return "unknown parameter";
        }
    }
    return "ok";
}

} // namespace pollenreel::testing
