// What the cases of this review share: stand-ins for the platform's store, for
// upstreams and for clients, and the entry program as a process. One header
// without dependencies beyond Boost.JSON, which the deploy file lists.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline steady::time_point& started_at() {
    static steady::time_point at = steady::now();
    return at;
}

inline double seconds(steady::time_point t) {
    return std::chrono::duration<double>(t - started_at()).count();
}

inline double now_s() {
    return seconds(steady::now());
}

// The record of a run: what was sent, answered and run, by time.
class run_record {
public:
    static run_record& get() {
        static run_record one;
        return one;
    }
    void open(const std::string& path) { m_file.open(path); }
    void line(const std::string& text) {
        const std::lock_guard guard(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", now_s());
        m_file << time << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

template <class... Parts>
std::string text(const Parts&... parts) {
    std::ostringstream out;
    (out << ... << parts);
    return out.str();
}

template <class... Parts>
void note(const Parts&... parts) {
    run_record::get().line(text(parts...));
}

template <class... Parts>
void say(const Parts&... parts) {
    const auto all = text(parts...);
    run_record::get().line(all);
    std::fprintf(stdout, "%s\n", all.c_str());
    std::fflush(stdout);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

// A port that is free now; the caller binds it soon.
inline std::uint16_t free_port() {
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(0);
    socklen_t size = sizeof at;
    if (::bind(s, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::getsockname(s, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    ::close(s);
    return ntohs(at.sin_port);
}

inline bool write_all(int s, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto n = ::send(s, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// Waits for bytes; 0 at the end of the stream, -1 at an error, -2 at a
// time-out.
inline long read_some(int s, std::string& to, milliseconds limit) {
    pollfd p{s, POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(limit.count())) <= 0) {
        return -2;
    }
    char bytes[16384];
    const auto n = ::recv(s, bytes, sizeof bytes, 0);
    if (n > 0) {
        to.append(bytes, static_cast<std::size_t>(n));
    }
    return n;
}

inline int connect_to(std::uint16_t port) {
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = loopback(port);
    if (::connect(s, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(s);
        return -1;
    }
    const int on = 1;
    ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return s;
}

// ------------------------------------------------------------------- http

struct message {
    std::string start; // the request line or the status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const {
        for (const auto& [n, v] : headers) {
            if (n.size() == name.size() &&
                ::strncasecmp(n.data(), name.data(), n.size()) == 0) {
                return v;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const {
        return start.substr(0, start.find(' '));
    }
    [[nodiscard]] std::string target() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    [[nodiscard]] int status() const {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
};

enum class read_result { whole, closed, timed_out };

// Reads one message with a length (or without a body) from `s`; `seen` holds
// bytes that were read beyond the last one.
inline read_result read_message(int s, std::string& seen, message& to,
                                milliseconds limit) {
    const auto until = steady::now() + limit;
    const auto more = [&] {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now());
        const auto n = read_some(s, seen, std::max(left, milliseconds(0)));
        if (n > 0) {
            return read_result::whole;
        }
        return n == -2 ? read_result::timed_out : read_result::closed;
    };
    std::size_t end = 0;
    while ((end = seen.find("\r\n\r\n")) == std::string::npos) {
        if (const auto r = more(); r != read_result::whole) {
            return r;
        }
    }
    to = {};
    std::istringstream head(seen.substr(0, end));
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (to.start.empty()) {
            to.start = line;
            continue;
        }
        const auto colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        to.headers.emplace_back(line.substr(0, colon), value);
    }
    seen.erase(0, end + 4);
    const auto length = to.header("Content-Length");
    const auto size =
        length.empty() ? 0 : static_cast<std::size_t>(std::stoul(length));
    while (seen.size() < size) {
        if (const auto r = more(); r != read_result::whole) {
            return r;
        }
    }
    to.body = seen.substr(0, size);
    seen.erase(0, size);
    return read_result::whole;
}

inline std::string reply(int status, const std::string& headers,
                         const std::string& body) {
    return text("HTTP/1.1 ", status, " Answer\r\n", headers,
                "Content-Length: ", body.size(), "\r\n\r\n", body);
}

// One thread for each connection; a handler writes its answer itself and says
// whether the connection stays open.
class http_server {
public:
    struct connection {
        int socket = -1;
        std::atomic<bool> silent{false}; // nothing is answered any more
    };
    using handler =
        std::function<bool(const std::shared_ptr<connection>&, message)>;

    http_server(std::uint16_t port, handler h) : m_handle(std::move(h)) {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = loopback(port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&at),
                   sizeof at) != 0 ||
            ::listen(m_listener, 1024) != 0) {
            throw std::runtime_error("cannot listen");
        }
        m_accepts = std::thread([this] { accept(); });
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() { stop(); }

    // Closes the listener and all connections, as the end of a process does.
    void stop() {
        if (m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepts.join();
        ::close(m_listener);
        std::vector<std::thread> threads;
        {
            const std::lock_guard guard(m_mutex);
            for (const auto& c : m_open) {
                ::shutdown(c->socket, SHUT_RDWR);
            }
            threads = std::move(m_threads);
        }
        for (auto& t : threads) {
            t.join();
        }
    }
    [[nodiscard]] bool stopped() const { return m_stopped; }

    std::vector<std::shared_ptr<connection>> open_connections() {
        const std::lock_guard guard(m_mutex);
        return {m_open.begin(), m_open.end()};
    }

private:
    void accept() {
        while (!m_stopped) {
            const int s = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (s < 0) {
                if (m_stopped) {
                    return;
                }
                std::this_thread::sleep_for(1ms);
                continue;
            }
            const int on = 1;
            ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto c = std::make_shared<connection>();
            c->socket = s;
            const std::lock_guard guard(m_mutex);
            m_open.insert(c);
            m_threads.emplace_back([this, c] { serve(c); });
        }
    }

    void serve(const std::shared_ptr<connection>& c) {
        std::string seen;
        message m;
        while (!m_stopped) {
            const auto r = read_message(c->socket, seen, m, 200ms);
            if (r == read_result::closed) {
                break;
            }
            if (r == read_result::whole && !c->silent &&
                !m_handle(c, std::move(m))) {
                break;
            }
        }
        {
            const std::lock_guard guard(m_mutex);
            m_open.erase(c);
        }
        ::close(c->socket);
    }

    handler m_handle;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_accepts;
};

inline std::string decode_url(std::string_view in) {
    std::string out;
    for (std::size_t i = 0; i < in.size(); ++i) {
        if (in[i] == '%' && i + 2 < in.size()) {
            out.push_back(static_cast<char>(
                std::stoi(std::string(in.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(in[i]);
        }
    }
    return out;
}

inline std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> all;
    const auto from = target.find('?');
    if (from == std::string::npos) {
        return all;
    }
    std::istringstream in(target.substr(from + 1));
    std::string part;
    while (std::getline(in, part, '&')) {
        const auto equals = part.find('=');
        all[decode_url(part.substr(0, equals))] =
            decode_url(part.substr(equals + 1));
    }
    return all;
}

// ----------------------------------------------------------------- base64

inline std::string to_base64(std::string_view in) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t bits = 0;
        const auto count = std::min<std::size_t>(3, in.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8 |
                   (k < count ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(k <= count ? digits[bits >> (18 - 6 * k) & 63U]
                                     : '=');
        }
    }
    return out;
}

inline std::string from_base64(std::string_view in) {
    static const std::string digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char c : in) {
        const auto digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        held += 6;
        if (held >= 8) {
            held -= 8;
            out.push_back(static_cast<char>(bits >> held & 255U));
        }
    }
    return out;
}

// ------------------------------------------------------------------ store

// The platform's metadata store as PROTOCOL.md describes it: keys with
// revisions, leases, conditional writes, paged listings, watches.
class store {
public:
    store()
        : port(free_port()),
          m_server(port, [this](const auto& c,
                                message m) { return serve(c, std::move(m)); }),
          m_expirer([this] { expire_leases(); }) {}
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store() { stop(); }

    void stop() {
        m_stops = true;
        m_changed.notify_all();
        m_server.stop();
        if (m_expirer.joinable()) {
            m_expirer.join();
        }
    }

    // As an operator or an upstream writes; returns when it is acknowledged.
    steady::time_point write(const std::string& key, const std::string& value) {
        const std::lock_guard guard(m_mutex);
        put(key, value, 0);
        return steady::now();
    }
    steady::time_point remove(const std::string& key) {
        const std::lock_guard guard(m_mutex);
        erase(key);
        return steady::now();
    }
    std::size_t count(const std::string& prefix) {
        const std::lock_guard guard(m_mutex);
        std::size_t n = 0;
        for (const auto& [key, item] : m_items) {
            n += key.starts_with(prefix) ? 1 : 0;
        }
        return n;
    }
    // Connections that are open now say nothing any more; new ones work.
    std::size_t silence_open_connections() {
        std::size_t n = 0;
        for (const auto& c : m_server.open_connections()) {
            c->silent = true;
            ++n;
        }
        m_changed.notify_all();
        return n;
    }
    // While it is set, every call gets 503 and nothing is done; leases end all
    // the same.
    std::atomic<bool> busy{false};
    const std::uint16_t port;

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::int64_t revision = 0;
        std::string key;
        std::optional<item> value;
    };
    struct lease {
        milliseconds ttl{};
        steady::time_point ends;
    };

    void put(const std::string& key, const std::string& value,
             std::int64_t of_lease) {
        auto& i = m_items[key];
        i.value = value;
        i.revision = ++m_revision;
        i.created = i.created == 0 ? m_revision : i.created;
        i.lease = of_lease;
        m_events.push_back({m_revision, key, i});
        m_changed.notify_all();
    }
    void erase(const std::string& key) {
        if (m_items.erase(key) > 0) {
            m_events.push_back({++m_revision, key, std::nullopt});
            m_changed.notify_all();
        }
    }
    void end_lease(std::int64_t id) {
        m_leases.erase(id);
        std::vector<std::string> gone;
        for (const auto& [key, i] : m_items) {
            if (i.lease == id) {
                gone.push_back(key);
            }
        }
        for (const auto& key : gone) {
            erase(key);
        }
    }
    void expire_leases() {
        while (!m_stops) {
            std::this_thread::sleep_for(20ms);
            const std::lock_guard guard(m_mutex);
            std::vector<std::int64_t> ended;
            for (const auto& [id, l] : m_leases) {
                if (steady::now() >= l.ends) {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended) {
                end_lease(id);
            }
        }
    }

    static json::object describe(const std::string& key, const item& i) {
        return {{"key", key},
                {"value", to_base64(i.value)},
                {"revision", i.revision},
                {"created", i.created},
                {"lease", i.lease}};
    }
    static std::string answer(int status, const json::value& body) {
        return reply(status, "Content-Type: application/json\r\n",
                     json::serialize(body));
    }
    static milliseconds time_of(const std::string& t) {
        const bool in_ms = t.ends_with("ms");
        return milliseconds(
            static_cast<std::int64_t>(std::stod(t) * (in_ms ? 1 : 1000)));
    }

    bool serve(const std::shared_ptr<http_server::connection>& c, message m) {
        const auto target = m.target();
        if (busy) {
            return write_all(c->socket, reply(503, "", ""));
        }
        if (target.starts_with("/api/kv-watch")) {
            return watch(c, query_of(target));
        }
        const auto out = call(m, target);
        return !c->silent && write_all(c->socket, out);
    }

    std::string call(const message& m, const std::string& target) {
        const std::lock_guard guard(m_mutex);
        const auto query = query_of(target);
        const std::string keep = "/api/kv-keep/";
        const std::string end = "/api/kv-lease-end/";
        if (target.starts_with("/api/kv-key")) {
            const auto found = m_items.find(query.at("key"));
            if (found == m_items.end()) {
                return reply(404, "", "");
            }
            auto o = describe(found->first, found->second);
            o["as_of"] = m_revision;
            return answer(200, o);
        }
        if (target.starts_with("/api/kv-range")) {
            return list(query);
        }
        if (target.starts_with("/api/kv-txn")) {
            return transact(json::parse(m.body).as_object());
        }
        if (target.starts_with(keep)) {
            const auto found =
                m_leases.find(std::stoll(target.substr(keep.size())));
            if (found == m_leases.end()) {
                return reply(404, "", "");
            }
            found->second.ends = steady::now() + found->second.ttl;
            return answer(
                200, json::object{
                         {"ttl_time", text(found->second.ttl.count(), "ms")}});
        }
        if (target.starts_with(end)) {
            end_lease(std::stoll(target.substr(end.size())));
            return answer(200, json::object{});
        }
        if (target.starts_with("/api/kv-lease")) {
            const auto ttl = time_of(
                std::string(json::parse(m.body).at("ttl_time").as_string()));
            const auto id = ++m_last_lease;
            m_leases[id] = {ttl, steady::now() + ttl};
            return answer(200,
                          json::object{{"lease", id},
                                       {"ttl_time", text(ttl.count(), "ms")}});
        }
        return reply(404, "", "");
    }

    std::string list(const std::map<std::string, std::string>& query) {
        constexpr std::size_t page = 500;
        const auto prefix = query.at("path_prefix");
        const auto after =
            query.contains("after") ? query.at("after") : std::string();
        json::array items;
        bool more = false;
        for (const auto& [key, i] : m_items) {
            if (key.starts_with(prefix) && key > after) {
                if (items.size() == page) {
                    more = true;
                    break;
                }
                items.push_back(describe(key, i));
            }
        }
        return answer(200, json::object{{"items", std::move(items)},
                                        {"has_more", more},
                                        {"as_of", m_revision}});
    }

    std::string transact(const json::object& o) {
        json::array states;
        bool holds = true;
        for (const auto& e : o.at("expected").as_array()) {
            const std::string key(e.at("key").as_string());
            const auto revision = e.at("revision").to_number<std::int64_t>();
            const auto found = m_items.find(key);
            const auto is = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && is == revision;
            states.push_back(found == m_items.end()
                                 ? json::object{{"key", key}, {"revision", 0}}
                                 : describe(key, found->second));
        }
        if (!holds) {
            return answer(412, json::object{{"items", std::move(states)}});
        }
        for (const auto& p : o.at("puts").as_array()) {
            const auto* l = p.as_object().if_contains("lease");
            const auto id = l == nullptr ? 0 : l->to_number<std::int64_t>();
            if (id != 0 && !m_leases.contains(id)) {
                return reply(404, "", "");
            }
            put(std::string(p.at("key").as_string()),
                from_base64(p.at("value").as_string()), id);
        }
        for (const auto& d : o.at("deletes").as_array()) {
            erase(std::string(d.as_string()));
        }
        return answer(200, json::object{{"revision", m_revision}});
    }

    bool watch(const std::shared_ptr<http_server::connection>& c,
               const std::map<std::string, std::string>& query) {
        const auto after = std::stoll(query.at("after"));
        const auto prefix = query.at("path_prefix");
        const auto asked = steady::now();
        const auto until =
            asked + milliseconds(std::stoll(query.at("wait_ms")));
        std::unique_lock lock(m_mutex);
        json::array events;
        while (!m_stops && !c->silent && !busy) {
            for (const auto& e : m_events) {
                if (e.revision > after && e.key.starts_with(prefix)) {
                    events.push_back(
                        e.value ? describe(e.key, *e.value)
                                : json::object{{"key", e.key},
                                               {"revision", e.revision},
                                               {"deleted", true}});
                }
            }
            if (!events.empty() || steady::now() >= until) {
                break;
            }
            auto wake = std::min(until, steady::now() + 20ms);
            m_changed.wait_until(lock, wake);
        }
        const auto body =
            json::object{{"events", std::move(events)}, {"as_of", m_revision}};
        lock.unlock();
        if (busy) {
            return write_all(c->socket, reply(503, "", ""));
        }
        return c->silent || write_all(c->socket, answer(200, body));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease> m_leases;
    std::vector<event> m_events;
    std::int64_t m_revision = 100;
    std::int64_t m_last_lease = 70'000;
    std::atomic<bool> m_stops{false};
    http_server m_server;
    std::thread m_expirer;
};

// --------------------------------------------------------------- upstream

// A sound upstream: checks Expected-Instance, works for as long as `work`
// says, echoes the id, signs, and reports its load.
class upstream {
public:
    struct run {
        std::string id;
        std::string line; // the request line
        std::string body;
        steady::time_point arrived;
    };
    using work_time = std::function<milliseconds(const message&)>;

    upstream(std::string name, std::string of_service, std::string in_zone,
             work_time work)
        : id(std::move(name)), service(std::move(of_service)),
          zone(std::move(in_zone)), port(free_port()), m_work(std::move(work)),
          m_server(port,
                   [this](const auto& c, message m) { return serve(c, m); }) {}

    [[nodiscard]] std::string key() const { return "servers/" + id; }
    [[nodiscard]] std::string
    entry(const char* state = "ready",
          milliseconds cold_remaining = milliseconds(0)) const {
        return json::serialize(json::object{
            {"address", text("127.0.0.1:", port)},
            {"information", json::object{{"service", service},
                                         {"version", "v1"},
                                         {"zone", zone},
                                         {"slots", slots}}},
            {"status", json::object{{"state", state},
                                    {"sequence", 1},
                                    {"cold_remaining",
                                     text(cold_remaining.count(), "ms")}}},
            {"born", m_born}});
    }
    std::vector<run> runs() {
        const std::lock_guard guard(m_mutex);
        return m_runs;
    }
    // Ends as a process does; what is under way gets no answer.
    void exit() {
        m_ends = true;
        m_server.stop();
    }
    // The most that arrived within a second.
    std::size_t most_in_a_second() {
        const auto all = runs();
        std::size_t most = 0;
        for (std::size_t first = 0, i = 0; i < all.size(); ++i) {
            while (all[i].arrived - all[first].arrived >= 990ms) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }
    // Called after each arrival, on the connection's thread.
    std::function<void()> on_arrival;

    const std::string id;
    const std::string service;
    const std::string zone;
    const std::uint16_t port;
    static constexpr int slots = 8;

private:
    bool serve(const std::shared_ptr<http_server::connection>& c,
               const message& m) {
        if (m.target() == "/health") {
            return write_all(c->socket,
                             reply(200, text("Instance-Id: ", id, "\r\n"), ""));
        }
        const auto expected = m.header("Expected-Instance");
        if (!expected.empty() && expected != id) {
            return write_all(c->socket,
                             reply(421, text("Instance-Id: ", id, "\r\n"), ""));
        }
        const auto request = m.header("Request-Attempt-Id");
        int running = 0;
        {
            const std::lock_guard guard(m_mutex);
            m_runs.push_back({request, m.start, m.body, steady::now()});
            running = ++m_running;
        }
        if (on_arrival) {
            on_arrival();
        }
        note("upstream ", id, " (", service, ") runs ", request, ": ", m.start,
             ", body of ", m.body.size(), " bytes");
        const auto until = steady::now() + m_work(m);
        while (steady::now() < until && !m_ends) {
            std::this_thread::sleep_for(
                std::min<steady::duration>(5ms, until - steady::now()));
        }
        {
            const std::lock_guard guard(m_mutex);
            --m_running;
        }
        const auto body = "done by " + id + " for " + request;
        return write_all(
            c->socket,
            reply(200,
                  text("Request-Attempt-Id: ", request,
                       "\r\nResponse-Signature: signed.", id, ".", request,
                       "\r\nServer-Load: ", running, ",0,", slots, "\r\n"),
                  body));
    }
    const std::int64_t m_born =
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    std::mutex m_mutex;
    std::vector<run> m_runs;
    int m_running = 0;
    std::atomic<bool> m_ends{false};
    work_time m_work;
    http_server m_server;
};

// ------------------------------------------------------------ entry process

struct place {
    std::string zone;
    std::string region;
};

// The bounds of the settings that a case uses, as the pages print them.
struct bounds {
    const char* heartbeat = "1500ms";
    const char* stable_window = "3000ms";
    const char* drain = "2500ms";
    const char* config_propagation = "2500ms";
    const char* grace = "6s";
};

// The program of the deploy file, with settings rendered from its template.
class entry {
public:
    entry(std::string name, place at, const std::vector<place>& all,
          std::uint16_t store_port, const std::filesystem::path& folder,
          const bounds& b = {})
        : node(std::move(name)), where(std::move(at)), front(free_port()),
          ready(free_port()), directory(free_port()), m_metrics(free_port()),
          m_relay(free_port()), m_settings(folder / (node + ".ini")),
          m_log(folder / (node + ".log")) {
        render(all, store_port, b);
        start();
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry() { end(); }

    void start() {
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
            const int out =
                ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::setenv("POLLENREEL_BOOT", m_settings.c_str(), 1);
            ::execl("target/platform/pollenreel_entry",
                    "target/platform/pollenreel_entry", nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) const { ::kill(m_process, number); }
    void end() {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }
    // Whether the process has ended by itself.
    bool ended() {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0) {
            m_process = -1;
        }
        return m_process <= 0;
    }
    [[nodiscard]] bool is_ready() const {
        const int s = connect_to(ready);
        if (s < 0) {
            return false;
        }
        write_all(s, "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
        std::string seen;
        message m;
        const auto r = read_message(s, seen, m, 1000ms);
        ::close(s);
        return r == read_result::whole && m.status() == 200;
    }

    const std::string node;
    const place where;
    const std::uint16_t front;
    const std::uint16_t ready;
    const std::uint16_t directory;

private:
    static void replace(std::string& in, const std::string& what,
                        const std::string& with) {
        for (auto at = in.find(what); at != std::string::npos;
             at = in.find(what, at + with.size())) {
            in.replace(at, what.size(), with);
        }
    }
    void render(const std::vector<place>& all, std::uint16_t store_port,
                const bounds& b) const {
        std::ostringstream read;
        read << std::ifstream("deploy/entry.ini.template").rdbuf();
        auto t = read.str();
        std::string zones;
        for (const auto& p : all) {
            zones += text(zones.empty() ? "" : ",", p.zone, ":", p.region);
        }
        const auto from = t.find("{{#zones}}");
        const std::string close = "{{/zones}}";
        t.replace(from, t.find(close) + close.size() - from, zones);
        const auto at = [](std::uint16_t p) { return text("127.0.0.1:", p); };
        const std::pair<const char*, std::string> values[] = {
            {"{{node}}", node},
            {"{{zone}}", where.zone},
            {"{{region}}", where.region},
            {"{{limits.link_mbps}}", "1000.0"},
            {"{{limits.memory_mb}}", "260"},
            {"{{listen.front}}", at(front)},
            {"{{listen.ready}}", at(ready)},
            {"{{listen.directory}}", at(directory)},
            {"{{ip}}:9464", at(m_metrics)},
            {"{{ip}}:{{internal_ports.0}}", at(m_relay)},
            {"{{heartbeat_interval}}", b.heartbeat},
            {"{{bounds.stable_window}}", b.stable_window},
            {"{{platform.address}}", at(store_port)},
            {"{{bounds.drain}}", b.drain},
            {"{{bounds.config_propagation}}", b.config_propagation},
            {"{{bounds.budget_ratio}}", "0.2"},
            {"{{bounds.budget_window}}", "10s"},
            {"{{bounds.budget_slack}}", "56"},
            {"{{bounds.cold_over}}", "1.5"},
            {"{{bounds.cold_slack}}", "5"},
            {"{{bounds.grace}}", b.grace},
            {"{{bounds.max_shift_fraction}}", "0.15"}};
        for (const auto& [what, with] : values) {
            replace(t, what, with);
        }
        if (t.find("{{") != std::string::npos) {
            throw std::runtime_error("the settings' template has changed");
        }
        std::ofstream(m_settings) << t;
    }

    std::uint16_t m_metrics;
    std::uint16_t m_relay;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_process = -1;
};

// ------------------------------------------------------------- a case's run

template <class Condition>
bool eventually(Condition reached, milliseconds limit = 10s) {
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        if (reached()) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

struct surroundings {
    bool trouble = true;
    std::filesystem::path folder; // temporary
};

// Arguments: the case's folder. Runs in the root of the repository.
inline int run_case(int argc, char** argv,
                    const std::function<int(const surroundings&)>& body) {
    started_at();
    if (argc < 2) {
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    run_record::get().open(std::string(argv[1]) + "/record.txt");
    const char* wanted = std::getenv("TROUBLE");
    surroundings s;
    s.trouble = wanted == nullptr || std::string(wanted) != "0";
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        return could_not_run;
    }
    s.folder = name;
    int code = could_not_run;
    try {
        code = body(s);
    } catch (const std::exception& e) {
        say("could not run: ", e.what());
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(s.folder);
    } else {
        say("kept ", s.folder.string());
    }
    say(code == rule_held     ? "the rule held"
        : code == rule_broken ? "the rule was broken"
                              : "the case could not run");
    return code;
}

} // namespace review
