// An upstream of another region is full when a new connection to it is checked,
// and refuses the check. Some request ends there while the refusal is on its
// way, so that there is room when the order comes, and it runs the order. The
// refusal of the check comes once more, late, where the order's response is
// expected.
#include "rig.h"

using namespace rig;

namespace {

constexpr const char* host = "ficu95.example";
// One way between the instances' region and that of the upstreams.
constexpr auto distance = 20ms;
// After the refusal, until one of the requests of others ends. With 9 slots and
// work of 710 ms one ends every 79 ms on average.
constexpr auto until_room = 20ms;

string configuration() {
    return text(
        "{\"version\":\"r7\",\"services\":[{\"name\":\"bench-desk\","
        "\"health_check_path\":\"/health\",\"connection_limit\":330,"
        "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\","
        "\"cold_per_s\":7.6}],\"limits\":{\"header_bytes\":16384,"
        "\"body_bytes\":67108864,\"header_timeout\":\"3000ms\","
        "\"idle_timeout\":\"15000ms\"},\"hosts\":[{\"host\":\"%s\",\"paths\":["
        "{\"name\":\"r-lookup\",\"path_prefix\":\"/lookup/\",\"kind\":\"safe\","
        "\"timeout\":\"1200ms\",\"target_latency\":\"400ms\",\"priority\":2,"
        "\"service\":\"bench-desk\",\"max_attempts\":2,\"sticky_sessions\":"
        "true,\"home_regions\":[]},"
        "{\"name\":\"r-order\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
        "\"timeout\":\"1200ms\",\"target_latency\":\"600ms\",\"priority\":1,"
        "\"service\":\"bench-desk\",\"max_attempts\":2,\"sticky_sessions\":"
        "true,\"home_regions\":[]}]}]}",
        host);
}

// An upstream of which other callers may take all places. While they do, it
// refuses whatever comes, health checks too. One of their requests ends
// `until_room` after it has refused a check.
class busy_upstream {
public:
    busy_upstream(store& s, const string& id)
        : m_id(id), m_store(s),
          m_server(free_port(), [this](int fd) { serve(fd); }) {
        m_server.start();
        m_beats = std::thread([this] {
            while (!m_done) {
                m_store.write("servers/" + m_id, entry());
                for (int i = 0; i < 75 && !m_done; ++i) {
                    std::this_thread::sleep_for(20ms);
                }
            }
        });
    }
    ~busy_upstream() {
        m_done = true;
        m_beats.join();
        m_server.stop();
    }

    std::map<string, int> ran() {
        const std::lock_guard guard(m_mutex);
        return m_ran;
    }
    const string& id() const { return m_id; }

    void fill() {
        m_room_at = clock::time_point{};
        full = true;
    }
    std::atomic<bool> full{false};
    // The next refusal of a check comes once more, late.
    std::atomic<bool> repeats{false};
    std::atomic<int> answers{0};
    std::atomic<int> extras{0};
    std::atomic<int> refused_checks{0};
    std::atomic<int> refused_requests{0};

private:
    string entry() const {
        return text("{\"address\":\"127.0.0.1:%d\",\"born\":1765000000000,"
                    "\"information\":{\"service\":\"bench-desk\",\"version\":"
                    "\"v1\",\"zone\":\"alex-a\",\"slots\":9},\"status\":{"
                    "\"state\":\"ready\",\"sequence\":%lld,\"cold_remaining\":"
                    "\"0ms\"}}",
                    m_server.port(),
                    static_cast<long long>(seconds_now() * 1000));
    }

    void serve(int fd) {
        reader in(fd);
        message m;
        string extra;
        while (!m_server.stopping() &&
               in.read(m, clock::now() + 10s, false) == read_end::message) {
            std::this_thread::sleep_for(distance);
            const bool is_check = m.path() == "/health";
            const auto id = m.header("Request-Attempt-Id");
            if (!extra.empty()) {
                note("%s sends the refusal of the check once more, late, where "
                     "the response to %s is expected",
                     m_id.c_str(), id.c_str());
                ++extras;
                ++answers;
                std::this_thread::sleep_for(distance);
                if (!send_all(fd, extra)) {
                    return;
                }
                extra.clear();
            }
            string answer;
            if (!is_check && m.header("Expected-Instance") != m_id) {
                answer = response(421, "Misdirected Request",
                                  "Instance-Id: " + m_id + "\r\n", "");
            } else if (is_full()) {
                // As the pages show it for "(any request)".
                answer = response(503, "Service Unavailable",
                                  "Not-Executed: 1\r\n", "");
                ++(is_check ? refused_checks : refused_requests);
                note("%s is full and refuses %s %s %s", m_id.c_str(),
                     m.method().c_str(), m.path().c_str(), id.c_str());
                if (is_check) {
                    m_room_at = clock::now() + until_room;
                    if (repeats.exchange(false)) {
                        extra = answer;
                    }
                }
            } else if (is_check) {
                answer = response(200, "OK",
                                  "Instance-Id: " + m_id +
                                      "\r\nServer-Load: 0,0,9,100\r\n",
                                  "");
            } else {
                {
                    const std::lock_guard guard(m_mutex);
                    ++m_ran[id];
                }
                const bool order = m.method() == "POST";
                if (order) {
                    note("%s runs POST %s id %s", m_id.c_str(),
                         m.path().c_str(), id.c_str());
                }
                std::this_thread::sleep_for(order ? 300ms : 5ms);
                answer = response(200, "OK",
                                  "Request-Attempt-Id: " + id +
                                      "\r\nResponse-Signature: sig-" + id +
                                      "\r\nServer-Load: 0,0,9,100\r\n",
                                  "done " + id);
            }
            ++answers;
            std::this_thread::sleep_for(distance);
            if (!send_all(fd, answer)) {
                return;
            }
        }
    }

    bool is_full() {
        const auto room_at = m_room_at.load();
        if (full && room_at != clock::time_point{} && clock::now() >= room_at) {
            full = false;
        }
        return full;
    }

    string m_id;
    store& m_store;
    std::mutex m_mutex;
    std::map<string, int> m_ran;
    std::atomic<clock::time_point> m_room_at{clock::time_point{}};
    std::atomic<bool> m_done{false};
    std::thread m_beats;
    server m_server;
};

struct order {
    string id;
    int status = 0;
    int runs = 0;
};

} // namespace

int main() {
    open_record();
    const bool trouble = with_trouble();
    note("TROUBLE=%d", trouble ? 1 : 0);
    store st(free_port());
    st.write("op/config", configuration());
    busy_upstream a(st, "i-a");
    busy_upstream b(st, "i-b");
    std::vector<std::unique_ptr<entry>> fronts;
    for (int i = 1; i <= 8; ++i) {
        fronts.push_back(std::make_unique<entry>(
            text("front-cairo-a-%d", i), "cairo-a", "cairo",
            "cairo-a:cairo,alex-a:alex", st.port(), bounds{}));
        fronts.back()->start();
    }
    if (!eventually(15s, [&] {
            return std::all_of(fronts.begin(), fronts.end(),
                               [](const auto& f) { return f->is_ready(); });
        })) {
        return cannot_run("an instance is not ready");
    }
    const auto& front = *fronts.front();
    // It knows the other instances, or that there are none, after 2 s.
    std::this_thread::sleep_for(4s);

    const auto send = [&](const string& method, const string& path,
                          const string& id, const string& key) {
        const auto r =
            text("%s %s HTTP/1.1\r\nHost: %s\r\n"
                 "Request-Attempt-Id: %s\r\nAffinity-Key: %s\r\n"
                 "Deadline-Remaining: 4000\r\n%s\r\n%s",
                 method.c_str(), path.c_str(), host, id.c_str(), key.c_str(),
                 method == "POST" ? "Content-Length: 4\r\n" : "",
                 method == "POST" ? "body" : "");
        return ask(front.callers, r, 5s);
    };
    // Look-ups, which make the upstreams' usual answers; they also show which
    // upstream the order of an object goes to.
    constexpr int lookups_sent = 360;
    std::atomic<int> lookups{0};
    std::vector<std::thread> callers;
    for (int t = 0; t < 8; ++t) {
        callers.emplace_back([&, t] {
            for (int i = t; i < lookups_sent; i += 8) {
                const auto o = send("GET", "/lookup/x", text("lookup-%d", i),
                                    text("%d", i % 20));
                lookups += o.status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& c : callers) {
        c.join();
    }
    string key_of_a;
    for (int i = 0; i < 20 && key_of_a.empty(); ++i) {
        int at_a = 0;
        for (int n = i; n < lookups_sent; n += 20) {
            at_a += a.ran().contains(text("lookup-%d", n)) ? 1 : 0;
        }
        if (at_a == lookups_sent / 20) {
            key_of_a = text("%d", i);
        }
    }
    note("%d of %d look-ups answered; answers of i-a %d, of i-b %d; object %s "
         "goes to i-a",
         lookups.load(), lookups_sent, a.answers.load(), b.answers.load(),
         key_of_a.c_str());
    if (lookups < lookups_sent * 9 / 10 || key_of_a.empty()) {
        return cannot_run("look-ups are not served");
    }

    std::vector<order> orders;
    // Not every new connection to another region is checked.
    for (int i = 0; i < 4; ++i) {
        // Idle connections are too old for an order then, so that it opens one.
        std::this_thread::sleep_for(1100ms);
        a.fill();
        a.repeats = trouble && a.extras < 1;
        const auto id = text("order-%d", i);
        const auto o = send("POST", "/order/x", id, key_of_a);
        note("client: order %s answered %d", id.c_str(), o.status);
        orders.push_back({id, o.status, 0});
    }
    a.full = false;
    std::this_thread::sleep_for(1500ms);
    bool broken = false;
    string summary;
    for (auto& o : orders) {
        o.runs = a.ran()[o.id] + b.ran()[o.id];
        const bool twice = o.runs > 1;
        const bool refused = (o.status == 503 || o.status == 429) && o.runs > 0;
        broken = broken || twice || refused;
        summary +=
            text("%s answered %d, ran %d times%s%s; ", o.id.c_str(), o.status,
                 o.runs, twice ? " (TWICE)" : "", refused ? " (REFUSED)" : "");
    }
    note("checks that i-a refused: %d; requests that it refused: %d; extra "
         "responses: %d of its %d answers",
         a.refused_checks.load(), a.refused_requests.load(), a.extras.load(),
         a.answers.load());
    if (a.refused_checks == 0) {
        return cannot_run("no check was refused");
    }
    return verdict(broken, summary);
}
