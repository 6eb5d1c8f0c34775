#include "testing/platform_standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <fmt/format.h>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;

http::server_options options(const base::endpoint& listen) {
    http::server_options o;
    o.listen = listen;
    return o;
}

} // namespace

platform_standin::platform_standin(boost::asio::io_context& io,
                                   const base::endpoint& listen)
    : m_io(io),
      m_server(io, options(listen),
               [this](const http::request& r, const http::responder& answer) {
                   on_request(r, answer);
               }) {}

base::result<void> platform_standin::start() {
    return m_server.start();
}

void platform_standin::on_request(const http::request& r,
                                  const http::responder& answer) {
    if (r.path.starts_with("/standin/faults")) {
        return answer({200, {}, set_faults(r.path)});
    }
    if (r.path == "/standin/calls") {
        return answer({200, {}, std::to_string(m_calls)});
    }
    ++m_calls;
    if (faults.down) {
        return; // the caller's timeout ends it
    }
    auto body = serve(r);
    if (faults.lose_answers && r.path == "/v3/kv/txn") {
        return;
    }
    if (faults.delay.count() == 0) {
        return answer({200, {}, body});
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
    timer->expires_after(faults.delay);
    timer->async_wait([timer, answer, body](const auto& e) {
        if (!e) {
            answer({200, {}, body});
        }
    });
}

std::string platform_standin::serve(const http::request& r) {
    try {
        if (r.path == "/v3/kv/range") {
            return range(r.body);
        }
        if (r.path == "/v3/kv/txn") {
            return transact(r.body);
        }
    } catch (const std::exception&) {
        return R"({"error":"bad request","code":3})";
    }
    return R"({"error":"not found","code":5})";
}

std::string platform_standin::entry_json(const std::string& key) const {
    const auto found = m_data.find(key);
    if (found == m_data.end()) {
        return fmt::format(R"({{"header":{{"revision":"{}"}}}})", m_revision);
    }
    return fmt::format(R"({{"header":{{"revision":"{}"}},"kvs":[{{"key":"{}",)"
                       R"("value":"{}","mod_revision":"{}"}}],"count":"1"}})",
                       m_revision, key, found->second.value,
                       found->second.modified);
}

std::string platform_standin::range(const std::string& body) {
    const auto asked = json::parse(body);
    return entry_json(json::value_to<std::string>(asked.at("key")));
}

std::string platform_standin::transact(const std::string& body) {
    const auto asked = json::parse(body);
    const auto& compare = asked.at("compare").as_array().at(0);
    const auto key = json::value_to<std::string>(compare.at("key"));
    const auto expected =
        json::value_to<std::string>(compare.at("mod_revision"));
    const auto found = m_data.find(key);
    const auto actual = found == m_data.end() ? 0 : found->second.modified;
    if (std::to_string(actual) != expected) {
        return fmt::format(R"({{"header":{{"revision":"{}"}},)"
                           R"("responses":[{{"response_range":{}}}]}})",
                           m_revision, entry_json(key));
    }
    const auto& put = asked.at("success").as_array().at(0).at("request_put");
    ++m_revision;
    m_data[key] = {json::value_to<std::string>(put.at("value")), m_revision};
    return fmt::format(R"({{"header":{{"revision":"{}"}},"succeeded":true}})",
                       m_revision);
}

std::string platform_standin::set_faults(const std::string& path) {
    const auto url = boost::urls::parse_origin_form(path);
    if (!url) {
        return "bad path";
    }
    for (const auto& p : url->params()) {
        if (p.key == "down") {
            faults.down = p.value == "1";
        } else if (p.key == "lose_answers") {
            faults.lose_answers = p.value == "1";
        } else if (p.key == "delay_ms") {
            faults.delay = std::chrono::milliseconds(std::stoi(p.value));
        }
    }
    return "ok";
}

} // namespace pollenreel::testing
