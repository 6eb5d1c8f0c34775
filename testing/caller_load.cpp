#include "testing/caller_load.hpp"

#include "pollenreel/http/client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <thread>

namespace pollenreel::testing {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds timeout{3000};
constexpr int most_tries = 20;
constexpr int order_every = 4; // one request in four is an order
constexpr int archive_every = 20;
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

void add(tally& sum, const tally& t) {
    sum.asked += t.asked;
    sum.answered += t.answered;
    sum.archived += t.archived;
    sum.lost += t.lost;
    sum.crossed += t.crossed;
    sum.acknowledged.insert(t.acknowledged.begin(), t.acknowledged.end());
    sum.unknown.insert(t.unknown.begin(), t.unknown.end());
    sum.latencies_ms.insert(sum.latencies_ms.end(), t.latencies_ms.begin(),
                            t.latencies_ms.end());
}

} // namespace

caller_load::caller_load(load_options o) : m_options(std::move(o)) {}

void caller_load::run(int requests) {
    for (int i = 0; i < requests; ++i) {
        one(m_tally.asked++);
    }
}

// Any instance answers; the first that does decides.
base::endpoint caller_load::look_up() {
    for (std::size_t i = 0; i < m_options.entries.size(); ++i) {
        const auto& at = m_options.entries[m_next++ % m_options.entries.size()];
        http::request r;
        r.path = "/lookup?service=" + m_options.service;
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
    return m_options.entries.front();
}

void caller_load::one(int number) {
    const auto id = fmt::format("{}-{}", m_options.name, number);
    const bool archive =
        !m_options.archive_kind.empty() && number % archive_every == 1;
    const bool order = number % order_every == 0;
    http::request r;
    r.path = "/svc/" + m_options.service + "/item/" + id;
    if (order) {
        r.method = "POST";
        r.headers = {{"Order-Id", id}};
    } else if (archive) {
        r.method = "PUT";
        r.headers = {{"Pollenreel-Kind", m_options.archive_kind}};
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < most_tries; ++i) {
        const auto answer = http::call_and_wait(look_up(), r, timeout);
        if (answer && answer.value().status == http_ok) {
            m_tally.crossed +=
                answer.value().body == "/item/" + id + "\n" ? 0 : 1;
            m_tally.archived += archive ? 1 : 0;
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

tally run_callers(const load_options& o, int callers, int requests) {
    std::vector<caller_load> loads;
    loads.reserve(static_cast<std::size_t>(callers));
    std::vector<std::thread> threads;
    threads.reserve(loads.capacity());
    for (int i = 0; i < callers; ++i) {
        auto own = o;
        own.name = fmt::format("{}-{}", o.name, i);
        auto& load = loads.emplace_back(std::move(own));
        threads.emplace_back(
            [&load, requests, callers] { load.run(requests / callers); });
    }
    tally sum;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        add(sum, loads[i].result());
    }
    return sum;
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
