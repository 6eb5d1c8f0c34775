// FAILBACK: cold upstreams get the requests of a warm one, and crash.
//
// The store is down for four seconds and leases run out meanwhile. When it is
// back, each entry instance sees the entries of all others gone, takes itself
// for the only one, and gives each cold upstream what all of them together may.
#include "harness.h"

namespace {

using namespace review;

constexpr auto outage = 4000ms;
constexpr auto cold_start = 3000ms;
constexpr double cold_per_s = 7.6;
// cold_per_s x cold_over + cold_slack.
constexpr double allowed = cold_per_s * 1.5 + 5;
// A cold upstream crashes somewhat above the bound of the rules.
constexpr std::size_t crashes_at = 18;

std::string configuration() {
    return json::serialize(json::object{
        {"version", "r1"},
        {"services", json::array{json::object{{"name", "bench-desk"},
                                              {"health_check_path", "/health"},
                                              {"connection_limit", 330},
                                              {"protocol", "h1"},
                                              {"tls", false},
                                              {"cold_start", "3s"},
                                              {"cold_per_s", cold_per_s}}}},
        {"limits", json::object{{"header_bytes", 16384},
                                {"body_bytes", 67108864},
                                {"header_timeout", "3000ms"},
                                {"idle_timeout", "15000ms"}}},
        {"hosts", json::array{json::object{
                      {"host", "desk.example"},
                      {"paths", json::array{json::object{
                                    {"name", "r-deposit"},
                                    {"path_prefix", "/deposit/"},
                                    {"kind", "unsafe"},
                                    {"timeout", "1200ms"},
                                    {"target_latency", "600ms"},
                                    {"priority", 1},
                                    {"service", "bench-desk"},
                                    {"max_attempts", 2},
                                    {"sticky_sessions", false},
                                    {"home_regions", json::array{}}}}}}}}});
}

// Sends one order after the other to one entry instance, each on a connection
// of its own.
class client {
public:
    client(const entry& to, std::string name)
        : m_port(to.front), m_name(std::move(name)),
          m_thread([this] { run(); }) {}
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client() { stop(); }
    void stop() {
        m_ends = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    std::map<std::string, int> answers; // statuses by id; 0: none

private:
    void run() {
        for (int i = 0; !m_ends; ++i) {
            const auto id = text(m_name, "-", i);
            int status = 0;
            note("client sends ", id);
            const int c = connect_to(m_port);
            write_all(c, text("POST /deposit/", i,
                              " HTTP/1.1\r\nHost: desk.example\r\n"
                              "Request-Attempt-Id: ",
                              id,
                              "\r\nDeadline-Remaining: 4000\r\n"
                              "Content-Length: 2\r\n\r\nok"));
            std::string seen;
            message m;
            if (read_message(c, seen, m, 4s) == read_result::whole) {
                status = m.status();
            }
            ::close(c);
            answers[id] = status;
            note("client gets ", status, " for ", id);
            std::this_thread::sleep_for(100ms);
        }
    }
    std::uint16_t m_port;
    std::string m_name;
    std::atomic<bool> m_ends{false};
    std::thread m_thread;
};

int play(const surroundings& s) {
    // Twelve machines, most of them in the region where most callers are.
    const std::vector<place> zones{{"cairo-a", "cairo"}, {"alex-a", "alex"},
                                   {"aswan-a", "aswan"}, {"cairo-b", "cairo"},
                                   {"alex-b", "alex"},   {"aswan-b", "aswan"}};
    const int machines[] = {4, 1, 1, 4, 1, 1};
    const auto work = [](const message&) { return 100ms; };
    store platform;
    platform.write("op/config", configuration());
    std::vector<std::unique_ptr<upstream>> warm;
    for (const auto* zone : {"cairo-a", "cairo-b", "cairo-a", "cairo-b",
                             "alex-a", "alex-b", "aswan-a"}) {
        warm.push_back(std::make_unique<upstream>(
            text("i-", warm.size(), "-", zone), "bench-desk", zone, work));
        platform.write(warm.back()->key(), warm.back()->entry());
    }
    std::vector<std::unique_ptr<entry>> fronts;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        for (int i = 1; i <= machines[z]; ++i) {
            fronts.push_back(std::make_unique<entry>(
                text("front-", zones[z].zone, "-", i), zones[z], zones,
                platform.port, s.folder));
            // All machines start within 0.3 s of each other.
            std::this_thread::sleep_for(40ms);
        }
    }
    const auto all_ready = [&] {
        return std::all_of(fronts.begin(), fronts.end(),
                           [](const auto& f) { return f->is_ready(); });
    };
    if (!eventually(all_ready)) {
        return could_not_run;
    }
    std::vector<std::unique_ptr<client>> clients;
    for (const auto& f : fronts) {
        for (int i = 1; i <= 8; ++i) {
            clients.push_back(
                std::make_unique<client>(*f, text(f->node, "-c", i)));
        }
    }
    std::this_thread::sleep_for(6s);

    if (s.trouble) {
        platform.busy = true;
        note("the store is down, and leases run out");
    }
    std::this_thread::sleep_for(outage - 500ms);
    // Empty upstreams are added; they register as soon as the store is there.
    std::vector<std::unique_ptr<upstream>> cold;
    std::vector<std::unique_ptr<std::atomic<bool>>> crashed;
    for (const auto* zone : {"cairo-a", "cairo-b"}) {
        cold.push_back(std::make_unique<upstream>(text("i-new-", zone),
                                                  "bench-desk", zone, work));
        crashed.push_back(std::make_unique<std::atomic<bool>>(false));
        cold.back()->on_arrival = [u = cold.back().get(),
                                   c = crashed.back().get()] {
            if (u->most_in_a_second() >= crashes_at) {
                *c = true;
            }
        };
    }
    const auto cold_until = steady::now() + cold_start;
    std::this_thread::sleep_for(500ms);
    if (s.trouble) {
        platform.busy = false;
        note("the store is back");
    }
    for (const auto& u : cold) {
        const auto left = std::chrono::duration_cast<milliseconds>(
            cold_until - steady::now());
        platform.write(u->key(), u->entry("ready", left));
        note("upstream ", u->id, " joins, cold for ", left.count(), " ms");
    }
    std::vector<bool> gone(cold.size());
    while (steady::now() < cold_until) {
        for (std::size_t i = 0; i < cold.size(); ++i) {
            if (*crashed[i] && !gone[i]) {
                gone[i] = true;
                cold[i]->exit();
                say("cold upstream ", cold[i]->id, " crashes");
            }
        }
        std::this_thread::sleep_for(1ms);
    }
    std::vector<std::size_t> most;
    for (const auto& u : cold) {
        most.push_back(u->most_in_a_second());
    }
    std::this_thread::sleep_for(2s);
    for (auto& c : clients) {
        c->stop();
    }

    int over = 0;
    for (std::size_t i = 0; i < cold.size(); ++i) {
        say("cold upstream ", cold[i]->id, " got ", most[i],
            " requests in one second; allowed ", allowed);
        over += static_cast<double>(most[i]) > allowed ? 1 : 0;
    }
    std::map<int, int> by_status;
    for (const auto& c : clients) {
        for (const auto& [id, status] : c->answers) {
            ++by_status[status];
        }
    }
    for (const auto& [status, n] : by_status) {
        say(n, " orders answered ", status);
    }
    if (by_status[200] == 0) {
        return could_not_run;
    }
    return over > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, play);
}
