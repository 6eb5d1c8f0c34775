#include "testing/caller_load.hpp"

#include "pollenreel/http/client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds timeout{3000};
constexpr int most_tries = 20;
constexpr int order_every = 4; // one request in four is an order
constexpr unsigned http_ok = 200;

std::map<std::string, int>
orders_run(const std::vector<base::endpoint>& targets) {
    std::map<std::string, int> ran;
    for (const auto& t : targets) {
        http::request r;
        r.path = "/standin/counts";
        const auto answer = http::call_and_wait(t, r, timeout);
        if (!answer) {
            continue;
        }
        const auto counts = json::parse(answer.value().body);
        for (const auto& order : counts.at("orders").as_object()) {
            ran[order.key()] += order.value().to_number<int>();
        }
    }
    return ran;
}

} // namespace

caller_load::caller_load(std::string service,
                         std::vector<base::endpoint> entries, std::string name)
    : m_service(std::move(service)), m_entries(std::move(entries)),
      m_name(std::move(name)) {}

void caller_load::run(int requests) {
    for (int i = 0; i < requests; ++i) {
        one(m_tally.asked++);
    }
}

// Any instance answers; the first that does decides.
base::endpoint caller_load::look_up() {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto& at = m_entries[m_next++ % m_entries.size()];
        http::request r;
        r.path = "/lookup?service=" + m_service;
        const auto answer = http::call_and_wait(at, r, timeout);
        if (answer && answer.value().status == http_ok) {
            const auto body = json::parse(answer.value().body);
            const auto& list = body.at("instances").as_array();
            const auto& chosen = list.at(m_next % list.size());
            return base::parse_endpoint(
                       json::value_to<std::string>(chosen.at("address")))
                .value();
        }
    }
    return m_entries.front();
}

void caller_load::one(int number) {
    const bool order = number % order_every == 0;
    const auto id = fmt::format("{}-{}", m_name, number);
    http::request r;
    r.method = order ? "POST" : "GET";
    r.path = "/svc/" + m_service + "/item/" + id;
    if (order) {
        r.headers = {{"Order-Id", id}};
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < most_tries; ++i) {
        const auto answer = http::call_and_wait(look_up(), r, timeout);
        if (answer && answer.value().status == http_ok) {
            m_tally.crossed +=
                answer.value().body == "/item/" + id + "\n" ? 0 : 1;
            return answered(order ? id : "",
                            std::chrono::steady_clock::now() - begin);
        }
        const bool not_run =
            answer && http::find(answer.value().headers,
                                 "Pollenreel-Outcome") == "not-run";
        if (order && !not_run) { // must not be sent again
            m_tally.unknown.insert(id);
            return;
        }
    }
    ++m_tally.lost;
}

void caller_load::answered(const std::string& order,
                           std::chrono::steady_clock::duration took) {
    ++m_tally.answered;
    m_tally.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(took).count());
    if (!order.empty()) {
        m_tally.acknowledged.insert(order);
    }
}

accounts account(const tally& t, const std::string& name,
                 const std::vector<base::endpoint>& targets) {
    const auto ran = orders_run(targets);
    accounts a;
    for (const auto& [id, times] : ran) {
        const bool ours = id.starts_with(name + "-");
        a.doubled += ours && times > 1 ? 1 : 0;
        const bool told = t.acknowledged.contains(id) || t.unknown.contains(id);
        a.phantom += ours && !told ? 1 : 0;
    }
    for (const auto& id : t.acknowledged) {
        a.vanished += ran.contains(id) ? 0 : 1;
    }
    return a;
}

double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(q * last)];
}

} // namespace pollenreel::testing
