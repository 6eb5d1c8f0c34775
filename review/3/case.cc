// DRAIN: an upstream that has left is used for seconds after its entry is gone.
//
// The open connections to the platform's store go silent; new ones work. The
// entry instances notice within about two seconds and connect anew, but take
// the silence for an outage of the store, after which they keep entries that
// are gone for two seconds more.
#include "harness.h"

namespace {

using namespace review;

constexpr auto stable_window = 3000ms;
constexpr auto drain = 2500ms;

std::string configuration() {
    return json::serialize(json::object{
        {"version", "r1"},
        {"services", json::array{json::object{{"name", "bench-desk"},
                                              {"health_check_path", "/health"},
                                              {"connection_limit", 330},
                                              {"protocol", "h1"},
                                              {"tls", false},
                                              {"cold_start", "3s"},
                                              {"cold_per_s", 7.6}}}},
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
            std::this_thread::sleep_for(20ms);
        }
    }
    std::uint16_t m_port;
    std::string m_name;
    std::atomic<bool> m_ends{false};
    std::thread m_thread;
};

int play(const surroundings& s) {
    // The machines of the site.
    const std::vector<place> zones{{"cairo-a", "cairo"}, {"alex-a", "alex"},
                                   {"aswan-a", "aswan"}, {"cairo-b", "cairo"},
                                   {"alex-b", "alex"},   {"aswan-b", "aswan"}};
    const int machines[] = {2, 2, 1, 1, 1, 1};
    const auto work = [](const message&) { return 300ms; };
    store platform;
    platform.write("op/config", configuration());
    std::vector<std::unique_ptr<upstream>> desks;
    for (const auto& z : zones) {
        for (int i = 1; i <= 2; ++i) {
            desks.push_back(std::make_unique<upstream>(
                text("i-", z.zone, "-", i), "bench-desk", z.zone, work));
            platform.write(desks.back()->key(), desks.back()->entry());
        }
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
        for (int i = 1; i <= 4; ++i) {
            clients.push_back(
                std::make_unique<client>(*f, text(f->node, "-c", i)));
        }
    }
    std::this_thread::sleep_for(6s);

    const auto silent_at = steady::now();
    if (s.trouble) {
        say(platform.silence_open_connections(),
            " open connections to the store go silent");
    }
    std::this_thread::sleep_for(300ms);
    // One upstream a region leaves. It never reports `draining`; its entry is
    // removed, it serves on for `drain` and a little longer, and exits.
    struct departure {
        upstream* who;
        steady::time_point acknowledged;
    };
    std::vector<departure> left;
    for (auto& d : desks) {
        if (d->id.ends_with("-a-1")) {
            left.push_back({d.get(), platform.remove(d->key())});
            note("entry of ", d->id, " is removed");
        }
    }
    std::this_thread::sleep_for(drain + 700ms);
    for (const auto& d : left) {
        d.who->exit();
        note(d.who->id, " exits");
    }
    std::this_thread::sleep_for(4s);
    for (auto& c : clients) {
        c->stop();
    }

    // Machines are in touch again a stable_window after the silence began.
    const auto in_touch = silent_at + (s.trouble ? stable_window : 0ms);
    int late = 0;
    for (const auto& d : left) {
        double last = 0;
        for (const auto& r : d.who->runs()) {
            const auto after = r.arrived - d.acknowledged;
            last = std::max(last, std::chrono::duration<double>(after).count());
            if (after > drain && r.arrived > in_touch) {
                ++late;
                note(r.id, " reaches ", d.who->id, " at ", seconds(r.arrived),
                     ", ", std::chrono::duration<double>(after).count(),
                     " s after its entry was removed");
            }
        }
        say("last request reached ", d.who->id, " ", last,
            " s after its entry was removed");
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
    say(late, " orders reached upstreams later than 2.5 s after the store ",
        "acknowledged that they are gone, from machines in touch");
    if (by_status[200] == 0) {
        return could_not_run;
    }
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, play);
}
