#include "pollenreel/node/node_benchmark.hpp"

#include "pollenreel/node/traffic_thread.hpp"
#include "pollenreel/routing/snapshot.hpp"
#include "testing/caller_load.hpp"
#include "testing/ports.hpp"
#include "testing/target_standin.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <thread>

#include <time.h>

namespace pollenreel::node {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The stated targets.
constexpr double lookups_per_second = 6540; // ten times 654
constexpr double lookup_p99_ms = 2;
constexpr double path_requests_per_second = 2000;
constexpr double path_p50_added_us = 150;
constexpr double path_p99_added_us = 1000;

constexpr milliseconds warm_up{300};
constexpr std::size_t connections = 8;
constexpr int seeds = 5;

// A connection that sends one fixed request and waits for its answer.
class caller {
public:
    caller(const base::endpoint& to, std::string request)
        : m_socket(m_io), m_request(std::move(request)) {
        m_socket.connect({asio::ip::make_address_v4(to.host), to.port});
        m_socket.set_option(tcp::no_delay(true));
    }

    void exchange() {
        asio::write(m_socket, asio::buffer(m_request));
        const auto head =
            asio::read_until(m_socket, asio::dynamic_buffer(m_got), "\r\n\r\n");
        const auto whole = head + content_length(head);
        if (m_got.size() < whole) {
            asio::read(m_socket, asio::dynamic_buffer(m_got),
                       asio::transfer_exactly(whole - m_got.size()));
        }
        m_failures += m_got.starts_with("HTTP/1.1 200") ? 0 : 1;
        m_got.erase(0, whole);
    }
    [[nodiscard]] int failures() const { return m_failures; }

private:
    [[nodiscard]] std::size_t content_length(std::size_t head) const {
        constexpr std::string_view name = "Content-Length: ";
        const auto at = m_got.find(name);
        std::size_t length = 0;
        if (at < head) {
            std::from_chars(m_got.data() + at + name.size(),
                            m_got.data() + head, length);
        }
        return length;
    }

    asio::io_context m_io;
    tcp::socket m_socket;
    std::string m_request;
    std::string m_got;
    int m_failures = 0;
};

struct latencies {
    std::vector<double> ms;
    int failures = 0;
};

// Sends at a fixed rate over several connections; a latency counts from when
// the request was due, so that a stall is not hidden by the sender's waiting.
latencies paced(const base::endpoint& to, const std::string& request,
                double per_second, milliseconds how_long) {
    std::vector<latencies> each(connections);
    std::vector<std::thread> threads;
    threads.reserve(connections);
    const auto begin = clock::now() + milliseconds(20);
    const std::chrono::duration<double> period(connections / per_second);
    for (std::size_t i = 0; i < connections; ++i) {
        threads.emplace_back([&, i] {
            caller c(to, request);
            const auto offset = period * (static_cast<double>(i) / connections);
            for (int n = 0;; ++n) {
                const auto due =
                    begin + std::chrono::duration_cast<clock::duration>(
                                offset + n * period);
                if (due > begin + how_long) {
                    break;
                }
                std::this_thread::sleep_until(due);
                c.exchange();
                each[i].ms.push_back(std::chrono::duration<double, std::milli>(
                                         clock::now() - due)
                                         .count());
            }
            each[i].failures = c.failures();
        });
    }
    latencies all;
    for (std::size_t i = 0; i < connections; ++i) {
        threads[i].join();
        all.ms.insert(all.ms.end(), each[i].ms.begin(), each[i].ms.end());
        all.failures += each[i].failures;
    }
    return all;
}

routing::snapshot_ptr snapshot(const base::endpoint& callers,
                               const base::endpoint& target) {
    declarations::configuration c;
    c.version = base::config_version(1);
    const base::failure_domain_id domain("khomas-a");
    c.declared.fleet_instances = 1;
    c.declared.regions = {{base::region_id("khomas"), {domain}}};
    declarations::kind browse;
    browse.id = base::kind_id("browse");
    browse.methods = {"GET"};
    browse.idempotent = true;
    browse.deadline = milliseconds(2000);
    declarations::target one;
    one.id = base::target_id("cat-1");
    one.failure_domain = domain;
    one.address = target;
    one.slots = 64;
    declarations::service catalogue;
    catalogue.id = base::service_id("catalogue");
    catalogue.max_connections_per_target = 400;
    catalogue.kinds = {browse};
    catalogue.targets = {one};
    c.declared.services = {catalogue};
    const routing::instance self{base::instance_id("a"), domain, callers};
    return routing::compile(c, self, {self});
}

// A traffic thread and one target, each on a thread of its own.
class bench_instance {
public:
    bench_instance()
        : m_callers(testing::free_endpoint()),
          m_target_at(testing::free_endpoint()),
          m_target(m_target_io, target_options(m_target_at)),
          m_log(m_clock, "bench", log::level::error),
          m_traffic(options(m_callers), m_clock, m_log) {
        (void)m_target.start();
        m_target_thread = std::thread([this] { m_target_io.run(); });
        (void)m_traffic.start();
        m_traffic.publish(snapshot(m_callers, m_target_at));
        std::this_thread::sleep_for(warm_up);
    }
    bench_instance(const bench_instance&) = delete;
    bench_instance& operator=(const bench_instance&) = delete;
    ~bench_instance() {
        m_traffic.stop();
        m_traffic.join();
        m_target_io.stop();
        m_target_thread.join();
    }

    [[nodiscard]] const base::endpoint& callers() const { return m_callers; }
    [[nodiscard]] const base::endpoint& target() const { return m_target_at; }
    [[nodiscard]] std::chrono::nanoseconds processor_time() const {
        return m_traffic.processor_time();
    }

private:
    static testing::target_options
    target_options(const base::endpoint& listen) {
        testing::target_options o;
        o.listen = listen;
        o.slots = 64;
        o.service_time = milliseconds(0);
        return o;
    }
    static traffic_options options(const base::endpoint& listen) {
        traffic_options o;
        o.settings.instance.id = base::instance_id("a");
        o.settings.traffic.listen = listen;
        o.settings.traffic.max_header_bytes = 8192;
        o.settings.traffic.max_body_bytes = 1 << 20;
        o.settings.traffic.max_callers = 1000;
        o.settings.traffic.idle_timeout = milliseconds(60'000);
        o.request_id_prefix = "bench";
        return o;
    }

    base::system_clock m_clock;
    base::endpoint m_callers;
    base::endpoint m_target_at;
    asio::io_context m_target_io{1};
    testing::target_standin m_target;
    std::thread m_target_thread;
    log::logger m_log;
    traffic_thread m_traffic;
};

std::string get(const std::string& path) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: bench\r\n"
           "Pollenreel-Request-Id: direct\r\n\r\n";
}

measure::result result(std::string measure, std::string workload, double value,
                       std::string unit, std::optional<double> bound,
                       int seed) {
    measure::result r;
    r.measure = std::move(measure);
    r.workload = std::move(workload);
    r.value = value;
    r.unit = std::move(unit);
    r.bound = bound;
    r.seed = static_cast<std::uint64_t>(seed);
    return r;
}

} // namespace

measure::results measure_lookup() {
    constexpr milliseconds how_long{2000};
    measure::results out;
    const bench_instance instance;
    const auto request = get("/lookup?service=catalogue&from=10.0.0.1");
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto before = instance.processor_time();
        const auto got =
            paced(instance.callers(), request, lookups_per_second, how_long);
        const std::chrono::duration<double> used =
            instance.processor_time() - before;
        const auto count = static_cast<double>(got.ms.size());
        out.push_back(result("lookup", "p99 at 6540/s",
                             testing::quantile(got.ms, 0.99), "ms",
                             lookup_p99_ms, seed));
        out.push_back(result("lookup", "failed at 6540/s", got.failures,
                             "look-ups", 0, seed));
        auto per_core =
            result("lookup", "look-ups a second of one core",
                   count / used.count(), "1/s", lookups_per_second, seed);
        per_core.direction = measure::direction::at_least;
        out.push_back(per_core);
    }
    return out;
}

measure::results measure_path_cost() {
    constexpr milliseconds how_long{2000};
    constexpr double microseconds_per_ms = 1000;
    measure::results out;
    const bench_instance instance;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto direct = paced(instance.target(), get("/item"),
                                  path_requests_per_second, how_long);
        const auto before = instance.processor_time();
        const auto proxied =
            paced(instance.callers(), get("/svc/catalogue/item"),
                  path_requests_per_second, how_long);
        const std::chrono::duration<double> used =
            instance.processor_time() - before;
        const auto added = [&](double q) {
            return (testing::quantile(proxied.ms, q) -
                    testing::quantile(direct.ms, q)) *
                   microseconds_per_ms;
        };
        out.push_back(result("path_cost", "added p50 at 2000/s", added(0.5),
                             "us", path_p50_added_us, seed));
        out.push_back(result("path_cost", "added p99 at 2000/s", added(0.99),
                             "us", path_p99_added_us, seed));
        out.push_back(result("path_cost", "failed", proxied.failures,
                             "requests", 0, seed));
        out.push_back(
            result("path_cost", "requests a second of one core",
                   static_cast<double>(proxied.ms.size()) / used.count(), "1/s",
                   {}, seed));
    }
    return out;
}

} // namespace pollenreel::node
