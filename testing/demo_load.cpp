// Load of the demonstration: looks up an entry instance, sends look-ups and
// orders through it, moves on to another when one fails, and accounts for
// every order at the targets.
//
//   demo_load SERVICE REQUESTS ENTRY[,ENTRY...] TARGET[,TARGET...]
#include "pollenreel/http/client.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

using namespace pollenreel;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds timeout{3000};
constexpr int most_tries = 20;
constexpr int order_every = 4; // one request in four is an order

std::vector<base::endpoint> endpoints(const std::string& text) {
    std::vector<std::string> parts;
    boost::split(parts, text, boost::is_any_of(","));
    std::vector<base::endpoint> list;
    list.reserve(parts.size());
    for (const auto& p : parts) {
        list.push_back(base::parse_endpoint(p).value());
    }
    return list;
}

struct tally {
    int answered = 0;
    int lost = 0;
    std::set<std::string> acknowledged; // orders answered 200
    std::set<std::string> unknown;      // orders that may have run
    std::vector<double> latencies_ms;
};

class load {
public:
    load(std::string service, std::vector<base::endpoint> entries)
        : m_service(std::move(service)), m_entries(std::move(entries)) {}

    void run(int requests) {
        for (int i = 0; i < requests; ++i) {
            one(i);
        }
    }
    [[nodiscard]] const tally& result() const { return m_tally; }

private:
    // Any instance answers; the first that does decides.
    base::endpoint look_up() {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const auto& at = m_entries[m_next++ % m_entries.size()];
            http::request r;
            r.path = "/lookup?service=" + m_service;
            const auto answer = http::call_and_wait(at, r, timeout);
            if (answer && answer.value().status == 200) {
                const auto body = json::parse(answer.value().body);
                const auto& list = body.at("instances").as_array();
                const auto& first = list.at(m_next % list.size());
                return base::parse_endpoint(
                           json::value_to<std::string>(first.at("address")))
                    .value();
            }
        }
        return m_entries.front();
    }

    void one(int number) {
        const bool order = number % order_every == 0;
        http::request r;
        r.method = order ? "POST" : "GET";
        r.path = "/svc/" + m_service + "/item/" + std::to_string(number);
        const auto id = fmt::format("{}-{}", m_service, number);
        if (order) {
            r.headers = {{"Order-Id", id}};
        }
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < most_tries; ++i) {
            const auto answer = http::call_and_wait(look_up(), r, timeout);
            if (answer && answer.value().status == 200) {
                const std::chrono::duration<double, std::milli> took =
                    std::chrono::steady_clock::now() - begin;
                m_tally.latencies_ms.push_back(took.count());
                ++m_tally.answered;
                if (order) {
                    m_tally.acknowledged.insert(id);
                }
                return;
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

    std::string m_service;
    std::vector<base::endpoint> m_entries;
    std::size_t m_next = 0;
    tally m_tally;
};

double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(q * last)];
}

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

int main(int argc, char** argv) {
    if (argc != 5) {
        fmt::print(stderr, "usage: demo_load SERVICE REQUESTS ENTRIES "
                           "TARGETS\n");
        return 64;
    }
    load l(argv[1], endpoints(argv[3]));
    l.run(std::stoi(argv[2]));
    const auto& t = l.result();
    const auto ran = orders_run(endpoints(argv[4]));
    int doubled = 0;
    for (const auto& [id, times] : ran) {
        doubled += id.starts_with(argv[1]) && times > 1 ? 1 : 0;
    }
    int vanished = 0;
    for (const auto& id : t.acknowledged) {
        vanished += ran.contains(id) ? 0 : 1;
    }
    fmt::print("{}: asked {}, answered {}, lost {}, orders acknowledged {}, "
               "of unknown outcome {}, doubled {}, vanished {}, p50 {:.1f} ms, "
               "p99 {:.1f} ms\n",
               argv[1], argv[2], t.answered, t.lost, t.acknowledged.size(),
               t.unknown.size(), doubled, vanished,
               quantile(t.latencies_ms, 0.5), quantile(t.latencies_ms, 0.99));
    return t.lost == 0 && doubled == 0 && vanished == 0 ? 0 : 1;
}
