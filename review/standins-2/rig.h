// Parts of the review's cases: the platform's store, upstreams, clients and the
// entry program as a process. Sockets and threads of the C library only.
//
// All servers listen on loopback. The store and the upstreams follow the
// users' pages; a case switches faults on by name.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using std::string;

// ---------------------------------------------------------------- record

inline std::mutex g_record_mutex;
inline FILE* g_record = nullptr;
inline const clock::time_point g_start = clock::now();

inline double seconds_now() {
    return std::chrono::duration<double>(clock::now() - g_start).count();
}

// Writes one line to record.txt, with the time since the start.
__attribute__((format(printf, 1, 2))) inline void note(const char* format,
                                                       ...) {
    const std::lock_guard guard(g_record_mutex);
    if (g_record == nullptr) {
        return;
    }
    std::fprintf(g_record, "%8.3f ", seconds_now());
    va_list args;
    va_start(args, format);
    std::vfprintf(g_record, format, args);
    va_end(args);
    std::fputc('\n', g_record);
    std::fflush(g_record);
}

inline string text(const char* format, ...) {
    char buffer[8192];
    va_list args;
    va_start(args, format);
    std::vsnprintf(buffer, sizeof buffer, format, args);
    va_end(args);
    return buffer;
}

inline bool with_trouble() {
    const char* t = std::getenv("TROUBLE");
    return t == nullptr || string(t) != "0";
}

// ---------------------------------------------------------------- sockets

inline void set_no_delay(int fd) {
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

inline sockaddr_in address_of(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

inline int listen_on(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto a = address_of(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// Ports below the ephemeral range, so that no outgoing connection takes one,
// and of a block that this process holds, so that no other script does.
inline int free_port() {
    constexpr int first = 12'000;
    constexpr int block = 200;
    constexpr int blocks = 90;
    static std::mutex mutex;
    static int next = 0; // 0: no block is held
    static int end = 0;
    const std::lock_guard guard(mutex);
    std::mt19937 random{std::random_device{}()};
    for (int i = 0; next == 0 && i < 10 * blocks; ++i) {
        const int base = first + static_cast<int>(random() % blocks) * block;
        // Listened on until the process ends.
        if (listen_on(base) >= 0) {
            next = base + 1;
            end = base + block;
        }
    }
    while (next != 0 && next < end) {
        const int port = next++;
        const int fd = listen_on(port);
        if (fd >= 0) {
            ::close(fd);
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

inline int connect_to(int port, std::chrono::milliseconds limit = 1000ms) {
    const int fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto a = address_of(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS ||
            ::poll(&p, 1, static_cast<int>(limit.count())) != 1 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0) {
            ::close(fd);
            return -1;
        }
    }
    set_no_delay(fd);
    return fd;
}

inline bool send_all(int fd, const string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n =
            ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            pollfd p{fd, POLLOUT, 0};
            if (::poll(&p, 1, 10'000) == 1) {
                continue;
            }
        }
        return false;
    }
    return true;
}

inline void close_by_reset(int fd) {
    const linger l{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    ::close(fd);
}

// ---------------------------------------------------------------- messages

struct message {
    string first_line;
    std::vector<std::pair<string, string>> headers;
    string body;
    bool whole = false; // as far as its framing tells

    [[nodiscard]] string header(const char* name) const {
        for (const auto& [n, v] : headers) {
            if (strcasecmp(n.c_str(), name) == 0) {
                return v;
            }
        }
        return "";
    }
    [[nodiscard]] bool has(const char* name) const {
        return std::any_of(headers.begin(), headers.end(), [&](const auto& h) {
            return strcasecmp(h.first.c_str(), name) == 0;
        });
    }
    [[nodiscard]] string method() const {
        return first_line.substr(0, first_line.find(' '));
    }
    [[nodiscard]] string path() const {
        const auto a = first_line.find(' ');
        const auto b = first_line.rfind(' ');
        return a == b ? "" : first_line.substr(a + 1, b - a - 1);
    }
    [[nodiscard]] int status() const {
        const auto a = first_line.find(' ');
        return a == string::npos ? 0 : std::atoi(first_line.c_str() + a + 1);
    }
};

enum class read_end { message, closed, reset, timeout };

// Reads messages from one socket.
class reader {
public:
    explicit reader(int fd) : m_fd(fd) {}

    // `is_answer`: without a length, the end of the connection ends it.
    read_end read(message& out, clock::time_point until, bool is_answer,
                  bool without_body = false) {
        out = {};
        std::size_t end = 0;
        while ((end = m_held.find("\r\n\r\n")) == string::npos) {
            if (const auto e = more(until); e != read_end::message) {
                return e;
            }
        }
        const auto head = m_held.substr(0, end);
        m_held.erase(0, end + 4);
        std::size_t at = 0;
        bool first = true;
        while (at <= head.size()) {
            auto stop = head.find("\r\n", at);
            stop = stop == string::npos ? head.size() : stop;
            const auto line = head.substr(at, stop - at);
            at = stop + 2;
            if (first) {
                out.first_line = line;
                first = false;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            const auto b = value.find_first_not_of(" \t");
            value = b == string::npos ? "" : value.substr(b);
            out.headers.emplace_back(line.substr(0, colon), value);
        }
        if (without_body) {
            out.whole = true;
            return read_end::message;
        }
        if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") ==
            0) {
            return read_chunks(out, until);
        }
        if (out.has("Content-Length")) {
            const auto length = static_cast<std::size_t>(std::strtoull(
                out.header("Content-Length").c_str(), nullptr, 10));
            while (m_held.size() < length) {
                if (const auto e = more(until); e != read_end::message) {
                    out.body = m_held;
                    return e;
                }
            }
            out.body = m_held.substr(0, length);
            m_held.erase(0, length);
        } else if (is_answer && out.status() != 204 && out.status() != 304) {
            read_end e{};
            while ((e = more(until)) == read_end::message) {
            }
            out.body = std::exchange(m_held, "");
            out.whole = e == read_end::closed;
            return e == read_end::closed ? read_end::message : e;
        }
        out.whole = true;
        return read_end::message;
    }

    [[nodiscard]] const string& held() const { return m_held; }
    // Reads what comes until `until` or the end.
    read_end more(clock::time_point until) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - clock::now());
        pollfd p{m_fd, POLLIN, 0};
        const int got =
            ::poll(&p, 1, static_cast<int>(std::max<long>(0, left.count())));
        if (got == 0) {
            return read_end::timeout;
        }
        char buffer[16'384];
        const auto n = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (n > 0) {
            m_held.append(buffer, static_cast<std::size_t>(n));
            return read_end::message;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return read_end::message;
        }
        return n == 0 ? read_end::closed : read_end::reset;
    }

private:
    read_end read_chunks(message& out, clock::time_point until) {
        for (;;) {
            std::size_t line = 0;
            while ((line = m_held.find("\r\n")) == string::npos) {
                if (const auto e = more(until); e != read_end::message) {
                    return e;
                }
            }
            const auto size = std::strtoull(m_held.c_str(), nullptr, 16);
            while (m_held.size() < line + 2 + size + 2) {
                if (const auto e = more(until); e != read_end::message) {
                    return e;
                }
            }
            out.body += m_held.substr(line + 2, size);
            m_held.erase(0, line + 2 + size + 2);
            if (size == 0) {
                out.whole = true;
                return read_end::message;
            }
        }
    }

    int m_fd;
    string m_held;
};

inline string response(int status, const char* reason, const string& headers,
                       const string& body) {
    return text("HTTP/1.1 %d %s\r\n", status, reason) + headers +
           text("Content-Length: %zu\r\n\r\n", body.size()) + body;
}

// A server with a thread for each connection.
class server {
public:
    using handler = std::function<void(int fd)>;

    server(int port, handler h) : m_port(port), m_handle(std::move(h)) {}
    ~server() { stop(); }

    void start() {
        m_fd = listen_on(m_port);
        if (m_fd < 0) {
            std::fprintf(stderr, "cannot listen on %d\n", m_port);
            std::exit(2);
        }
        m_stopping = false;
        m_thread = std::thread([this] { accept_all(); });
    }
    // Refuses new connections and ends the open ones.
    void stop() {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
        cut();
        while (m_open > 0) {
            std::this_thread::sleep_for(2ms);
        }
    }
    // Ends the open connections.
    void cut() {
        const std::lock_guard guard(m_mutex);
        for (const int fd : m_connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] bool stopping() const { return m_stopping; }

private:
    void accept_all() {
        while (!m_stopping) {
            pollfd p{m_fd, POLLIN, 0};
            if (::poll(&p, 1, 20) != 1) {
                continue;
            }
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            set_no_delay(fd);
            {
                const std::lock_guard guard(m_mutex);
                m_connections.insert(fd);
            }
            ++m_open;
            std::thread([this, fd] {
                m_handle(fd);
                {
                    const std::lock_guard guard(m_mutex);
                    m_connections.erase(fd);
                }
                ::close(fd);
                --m_open;
            }).detach();
        }
    }

    int m_port;
    handler m_handle;
    int m_fd = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_open{0};
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::thread m_thread;
};

// ---------------------------------------------------------------- store

inline string to_base64(const string& in) {
    static const char* letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t n = 0;
        const auto count = std::min<std::size_t>(3, in.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            n = (n << 8U) |
                (k < count ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= count ? letters[(n >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return out;
}

inline string from_base64(const string& in) {
    string out;
    std::uint32_t n = 0;
    int bits = 0;
    for (const char c : in) {
        int v = -1;
        if (c >= 'A' && c <= 'Z') {
            v = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            v = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            v = c - '0' + 52;
        } else if (c == '+') {
            v = 62;
        } else if (c == '/') {
            v = 63;
        }
        if (v < 0) {
            break;
        }
        n = (n << 6U) | static_cast<std::uint32_t>(v);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((n >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

inline string url_decoded(const string& in) {
    string out;
    for (std::size_t i = 0; i < in.size(); ++i) {
        if (in[i] == '%' && i + 2 < in.size()) {
            out += static_cast<char>(
                std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += in[i];
        }
    }
    return out;
}

inline string parameter(const string& path, const string& name) {
    auto at = path.find('?');
    while (at != string::npos) {
        const auto start = at + 1;
        at = path.find('&', start);
        const auto one =
            path.substr(start, at == string::npos ? string::npos : at - start);
        if (one.starts_with(name + "=")) {
            return url_decoded(one.substr(name.size() + 1));
        }
    }
    return "";
}

// The text or number behind "name": from `from` on, as the program writes it.
inline string json_field(const string& in, const string& name,
                         std::size_t from = 0) {
    const auto at = in.find("\"" + name + "\":", from);
    if (at == string::npos) {
        return "";
    }
    auto start = at + name.size() + 3;
    if (in[start] == '"') {
        ++start;
        return in.substr(start, in.find('"', start) - start);
    }
    return in.substr(start, in.find_first_of(",}]", start) - start);
}

// The platform's store over HTTP, as PROTOCOL.md describes it.
class store {
public:
    explicit store(int port) : m_server(port, [this](int fd) { serve(fd); }) {
        m_server.start();
        m_ticker = std::thread([this] { tick(); });
    }
    ~store() {
        m_done = true;
        m_changed.notify_all();
        m_ticker.join();
        m_server.stop();
    }

    // As the operator and the upstreams write. Returns the revision, or 0 while
    // the store is away.
    std::int64_t write(const string& key, const string& value) {
        const std::lock_guard guard(m_mutex);
        return m_away ? 0 : put(key, value, 0);
    }
    std::int64_t remove(const string& key) {
        const std::lock_guard guard(m_mutex);
        return m_away ? 0 : erase(key);
    }
    [[nodiscard]] std::int64_t revision() {
        const std::lock_guard guard(m_mutex);
        return m_state.revision;
    }
    [[nodiscard]] std::vector<string> keys(const string& prefix) {
        const std::lock_guard guard(m_mutex);
        std::vector<string> found;
        for (const auto& [key, i] : m_state.items) {
            if (key.starts_with(prefix)) {
                found.push_back(key);
            }
        }
        return found;
    }

    // The store is away: every call gets a 503, and watches end. Leases pause,
    // or run out if they lapse.
    void leave(bool leases_lapse = false) {
        const std::lock_guard guard(m_mutex);
        m_lapse = leases_lapse;
        m_away = true;
        m_changed.notify_all();
    }
    // Comes back as it was.
    void come_back() {
        const std::lock_guard guard(m_mutex);
        m_away = false;
    }
    // Comes back from the copy that was made `age` before it went away: the
    // newest one of at least that age.
    std::int64_t come_back_from_copy(std::chrono::milliseconds age,
                                     clock::time_point left_at) {
        const std::lock_guard guard(m_mutex);
        for (auto c = m_copies.rbegin(); c != m_copies.rend(); ++c) {
            if (left_at - c->first >= age) {
                m_state = c->second;
                break;
            }
        }
        ++m_era;
        m_away = false;
        return m_state.revision;
    }

    [[nodiscard]] int port() const { return m_server.port(); }
    // Answers of watches that said that a revision isn't there (410).
    std::atomic<int> gone_answers{0};

private:
    struct item {
        string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::int64_t revision = 0;
        string key;
        std::optional<item> now;
    };
    struct lease {
        std::chrono::milliseconds ttl{};
        clock::time_point until;
    };
    struct state {
        std::map<string, item> items;
        std::deque<event> history;
        std::map<std::int64_t, lease> leases;
        std::int64_t revision = 100;
        std::int64_t last_lease = 70'000;
    };

    std::int64_t put(const string& key, const string& value,
                     std::int64_t lease) {
        auto& i = m_state.items[key];
        i.value = value;
        i.revision = ++m_state.revision;
        i.created = i.created == 0 ? i.revision : i.created;
        i.lease = lease;
        m_state.history.push_back({i.revision, key, i});
        m_changed.notify_all();
        return i.revision;
    }
    std::int64_t erase(const string& key) {
        if (m_state.items.erase(key) == 0) {
            return m_state.revision;
        }
        m_state.history.push_back({++m_state.revision, key, std::nullopt});
        m_changed.notify_all();
        return m_state.revision;
    }
    void end_lease(std::int64_t id) {
        m_state.leases.erase(id);
        std::vector<string> gone;
        for (const auto& [key, i] : m_state.items) {
            if (i.lease == id) {
                gone.push_back(key);
            }
        }
        for (const auto& key : gone) {
            erase(key);
        }
    }

    void tick() {
        auto copied = clock::now();
        while (!m_done) {
            std::this_thread::sleep_for(20ms);
            const std::lock_guard guard(m_mutex);
            const auto now = clock::now();
            if (m_away && !m_lapse) {
                for (auto& [id, l] : m_state.leases) {
                    l.until += 20ms;
                }
                continue;
            }
            std::vector<std::int64_t> ended;
            for (const auto& [id, l] : m_state.leases) {
                if (now >= l.until) {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended) {
                end_lease(id);
            }
            if (now - copied >= 250ms) {
                copied = now;
                m_copies.emplace_back(now, m_state);
                if (m_copies.size() > 60) {
                    m_copies.pop_front();
                }
            }
        }
    }

    static string item_text(const string& key, const item& i) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + to_base64(i.value) +
               text("\",\"revision\":%lld,\"created\":%lld,\"lease\":%lld}",
                    static_cast<long long>(i.revision),
                    static_cast<long long>(i.created),
                    static_cast<long long>(i.lease));
    }

    string answer(int status, const string& body) {
        return response(
            status, status == 200 ? "OK" : "No",
            text("Content-Type: application/json\r\nStore-Era: %d\r\n", m_era),
            body);
    }

    void serve(int fd) {
        reader in(fd);
        message m;
        while (in.read(m, clock::now() + 60s, false) == read_end::message) {
            if (!send_all(fd, handle(m))) {
                return;
            }
        }
    }

    string handle(const message& m) {
        std::unique_lock lock(m_mutex);
        if (m_away) {
            return answer(503, "");
        }
        const auto path = m.path();
        if (path.starts_with("/api/kv-watch")) {
            return watch(path, lock);
        }
        if (path.starts_with("/api/kv-range")) {
            return range(path);
        }
        if (path.starts_with("/api/kv-key")) {
            const auto key = parameter(path, "key");
            const auto found = m_state.items.find(key);
            if (found == m_state.items.end()) {
                return answer(404, "");
            }
            auto body = item_text(key, found->second);
            body.pop_back();
            return answer(
                200, body + text(",\"as_of\":%lld}",
                                 static_cast<long long>(m_state.revision)));
        }
        if (path.starts_with("/api/kv-txn")) {
            return transact(m.body);
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            const auto id = std::atoll(path.c_str() + 18);
            if (!m_state.leases.contains(id)) {
                return answer(404, "");
            }
            end_lease(id);
            return answer(200, "{}");
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto found =
                m_state.leases.find(std::atoll(path.c_str() + 13));
            if (found == m_state.leases.end()) {
                return answer(404, "");
            }
            found->second.until = clock::now() + found->second.ttl;
            return answer(
                200, text("{\"ttl_time\":\"%lldms\"}",
                          static_cast<long long>(found->second.ttl.count())));
        }
        if (path == "/api/kv-lease") {
            const auto asked = json_field(m.body, "ttl_time");
            double ttl = std::atof(asked.c_str());
            ttl *= asked.ends_with("ms") ? 1 : 1000;
            const std::chrono::milliseconds t(
                std::max<long long>(1000, static_cast<long long>(ttl)));
            const auto id = ++m_state.last_lease;
            m_state.leases[id] = {t, clock::now() + t};
            return answer(200, text("{\"lease\":%lld,\"ttl_time\":\"%lldms\"}",
                                    static_cast<long long>(id),
                                    static_cast<long long>(t.count())));
        }
        return answer(404, "");
    }

    string range(const string& path) {
        const auto prefix = parameter(path, "path_prefix");
        const auto after = parameter(path, "after");
        string items;
        int count = 0;
        bool more = false;
        for (const auto& [key, i] : m_state.items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
                continue;
            }
            if (++count > 500) {
                more = true;
                break;
            }
            items += (items.empty() ? "" : ",") + item_text(key, i);
        }
        return answer(200, "{\"items\":[" + items +
                               text("],\"has_more\":%s,\"as_of\":%lld}",
                                    more ? "true" : "false",
                                    static_cast<long long>(m_state.revision)));
    }

    string watch(const string& path, std::unique_lock<std::mutex>& lock) {
        const auto prefix = parameter(path, "path_prefix");
        const auto after = std::atoll(parameter(path, "after").c_str());
        const auto until =
            clock::now() + std::chrono::milliseconds(
                               std::atoll(parameter(path, "wait_ms").c_str()));
        const auto era = m_era;
        for (;;) {
            if (m_away || m_done || era != m_era) {
                return answer(503, "");
            }
            if (after > m_state.revision) {
                ++gone_answers;
                return answer(410, "");
            }
            string events;
            for (const auto& e : m_state.history) {
                if (e.revision <= after || !e.key.starts_with(prefix)) {
                    continue;
                }
                events += events.empty() ? "" : ",";
                events += e.now ? item_text(e.key, *e.now)
                                : "{\"key\":\"" + e.key +
                                      text("\",\"revision\":%lld,\"deleted\":"
                                           "true}",
                                           static_cast<long long>(e.revision));
            }
            if (!events.empty() || clock::now() >= until) {
                return answer(
                    200, "{\"events\":[" + events +
                             text("],\"as_of\":%lld}",
                                  static_cast<long long>(m_state.revision)));
            }
            m_changed.wait_until(lock, std::min(until, clock::now() + 50ms));
        }
    }

    string transact(const string& body) {
        const auto puts = body.find("\"puts\":");
        const auto expected_key = json_field(body, "key");
        const auto expected = std::atoll(json_field(body, "revision").c_str());
        const auto found = m_state.items.find(expected_key);
        const auto now =
            found == m_state.items.end() ? 0 : found->second.revision;
        if (!expected_key.empty() && now != expected) {
            return answer(
                412, "{\"items\":[" +
                         (now == 0 ? "{\"key\":\"" + expected_key +
                                         "\",\"revision\":0}"
                                   : item_text(expected_key, found->second)) +
                         "]}");
        }
        const auto key = json_field(body, "key", puts);
        const auto lease_id =
            std::atoll(json_field(body, "lease", puts).c_str());
        if (lease_id != 0 && !m_state.leases.contains(lease_id)) {
            return answer(404, "");
        }
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return answer(403, "");
        }
        const auto at =
            put(key, from_base64(json_field(body, "value", puts)), lease_id);
        return answer(200,
                      text("{\"revision\":%lld}", static_cast<long long>(at)));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    state m_state;
    std::deque<std::pair<clock::time_point, state>> m_copies;
    int m_era = 1;
    bool m_away = false;
    bool m_lapse = false;
    std::atomic<bool> m_done{false};
    std::thread m_ticker;
    server m_server;
};

// ---------------------------------------------------------------- upstreams

// An upstream with slots and a queue. It answers as the pages say; a case may
// act on single requests before or after that.
class upstream {
public:
    struct options {
        string id;
        string service;
        string zone;
        int slots = 6;
        int queue = 18;
        std::chrono::milliseconds work{200};
        bool tells_load = true;
        string health_path = "/health";
        // After its start.
        std::chrono::milliseconds cold_for{0};
        // Says in its health answers how long it stays cold.
        bool checks_tell_cold = true;
    };

    upstream(store& s, options o)
        : m_store(s), m_options(std::move(o)),
          m_server(free_port(), [this](int fd) { serve(fd); }) {
        m_server.start();
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_beats = std::thread([this] { beat(); });
    }
    ~upstream() {
        m_done = true;
        m_beats.join();
        m_server.stop();
    }

    [[nodiscard]] const options& info() const { return m_options; }
    [[nodiscard]] int port() const { return m_server.port(); }
    [[nodiscard]] string key() const { return "servers/" + m_options.id; }
    [[nodiscard]] string entry() const {
        return text("{\"address\":\"127.0.0.1:%d\",\"born\":%lld,"
                    "\"information\":{\"service\":\"%s\",\"version\":\"v1\","
                    "\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":"
                    "\"%s\",\"sequence\":%d,\"cold_remaining\":\"%lldms\"}}",
                    port(), static_cast<long long>(m_born),
                    m_options.service.c_str(), m_options.zone.c_str(),
                    m_options.slots, m_draining ? "draining" : "ready",
                    m_sequence.load(),
                    static_cast<long long>(cold_left().count()));
    }
    [[nodiscard]] std::chrono::milliseconds cold_left() const {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_started + m_options.cold_for - clock::now());
        return std::max(left, std::chrono::milliseconds(0));
    }
    // Requests that arrived within some second, at most.
    [[nodiscard]] std::size_t most_in_a_second() {
        const std::lock_guard guard(m_mutex);
        std::size_t most = 0;
        for (std::size_t i = 0, first = 0; i < m_arrivals.size(); ++i) {
            while (m_arrivals[i] - m_arrivals[first] >= 1s) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }
    void write_entry() {
        ++m_sequence;
        m_store.write(key(), entry());
    }
    void drain() {
        m_draining = true;
        write_entry();
    }
    void stop() { m_server.stop(); }

    // How often each id was run here.
    [[nodiscard]] std::map<string, int> ran() {
        const std::lock_guard guard(m_mutex);
        return m_ran;
    }

    std::atomic<int> health_checks{0};
    std::atomic<int> refused_checks{0};
    std::atomic<int> refused{0};
    std::atomic<int> runs{0};
    std::atomic<int> answers{0};

    std::function<void()> on_arrival;
    std::function<void(const message&)> on_run;
    // Replaces the answer to a request that was run.
    std::function<string(const message&, const string& usual)> instead;
    std::function<std::chrono::milliseconds(const message&)> work_of;

private:
    enum class place { slot, full, left };

    place enter(int fd) {
        std::unique_lock lock(m_mutex);
        if (m_running < m_options.slots) {
            ++m_running;
            return place::slot;
        }
        if (m_waiting >= m_options.queue) {
            return place::full;
        }
        ++m_waiting;
        while (m_running >= m_options.slots) {
            m_freed.wait_for(lock, 10ms);
            if (is_gone(fd)) {
                --m_waiting;
                return place::left;
            }
        }
        --m_waiting;
        ++m_running;
        return place::slot;
    }
    void leave() {
        const std::lock_guard guard(m_mutex);
        --m_running;
        m_freed.notify_one();
    }
    static bool is_gone(int fd) {
        char c = 0;
        const auto n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    string load() {
        if (!m_options.tells_load) {
            return "";
        }
        const std::lock_guard guard(m_mutex);
        return text("Server-Load: %d,%d,%d,100\r\n", m_running, m_waiting,
                    m_options.slots);
    }

    void serve(int fd) {
        reader in(fd);
        message m;
        while (!m_server.stopping() &&
               in.read(m, clock::now() + 10s, false) == read_end::message) {
            auto out = handle(fd, m);
            if (!out) {
                return;
            }
            if (!send_all(fd, *out)) {
                return;
            }
            ++answers;
        }
    }

    std::optional<string> handle(int fd, const message& m) {
        const auto id = m.header("Request-Attempt-Id");
        const bool is_check = m.path() == m_options.health_path;
        if (is_check) {
            ++health_checks;
        } else if (m.header("Expected-Instance") != m_options.id) {
            return response(421, "Misdirected Request",
                            "Instance-Id: " + m_options.id + "\r\n", "");
        }
        if (!is_check) {
            {
                const std::lock_guard guard(m_mutex);
                m_arrivals.push_back(clock::now());
            }
            if (on_arrival) {
                on_arrival();
            }
        }
        switch (enter(fd)) {
        case place::left:
            return std::nullopt;
        case place::full:
            ++(is_check ? refused_checks : refused);
            return response(503, "Service Unavailable",
                            "Not-Executed: 1\r\n" + load(), "");
        case place::slot:
            break;
        }
        if (is_check) {
            std::this_thread::sleep_for(6ms);
            auto l = load();
            leave();
            if (m_options.checks_tell_cold && cold_left().count() > 0) {
                l += text("Cold-Remaining: %lld\r\n",
                          static_cast<long long>(cold_left().count()));
            }
            return response(200, "OK",
                            "Instance-Id: " + m_options.id + "\r\n" + l, "");
        }
        {
            const std::lock_guard guard(m_mutex);
            ++m_ran[id];
        }
        ++runs;
        note("%s runs %s %s id %s", m_options.id.c_str(), m.method().c_str(),
             m.path().c_str(), id.c_str());
        if (on_run) {
            on_run(m);
        }
        const auto until =
            clock::now() + (work_of ? work_of(m) : m_options.work);
        bool gone = false;
        while (clock::now() < until && !(gone = is_gone(fd))) {
            std::this_thread::sleep_for(
                std::min<clock::duration>(5ms, until - clock::now()));
        }
        const auto l = load();
        leave();
        if (gone) {
            return std::nullopt;
        }
        auto usual =
            response(200, "OK",
                     "Request-Attempt-Id: " + id +
                         "\r\nResponse-Signature: sig-" + id + "\r\n" + l,
                     "done " + id + " by " + m_options.id);
        return instead ? instead(m, usual) : usual;
    }

    void beat() {
        auto next = clock::now();
        while (!m_done) {
            if (clock::now() >= next) {
                write_entry();
                next = clock::now() + 1500ms;
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    store& m_store;
    options m_options;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::map<string, int> m_ran;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_draining{false};
    long long m_born = 0;
    std::vector<clock::time_point> m_arrivals;
    const clock::time_point m_started = clock::now();
    std::atomic<bool> m_done{false};
    std::thread m_beats;
    server m_server;
};

// ---------------------------------------------------------------- the program

struct bounds {
    string stable_window = "4000ms";
    string drain = "2500ms";
    string config_propagation = "2500ms";
    string grace = "6s";
    string further_limits;
};

// pollenreel_entry as the deploy file starts it: the settings' path stands in
// POLLENREEL_BOOT, and the program starts in the repository root.
class entry {
public:
    entry(string name, string zone, string region, string zones, int store_port,
          bounds b)
        : m_name(std::move(name)) {
        const char* folder = std::getenv("RIG_FOLDER");
        m_folder = folder == nullptr ? "." : folder;
        m_settings = m_folder + "/" + m_name + ".ini";
        FILE* f = std::fopen(m_settings.c_str(), "w");
        std::fprintf(
            f,
            "[instance]\nid = %s\nfailure_domain = %s\nregion = %s\n"
            "log_level = info\nlink_mbps = 1000.0\nmemory_mb = 260\n\n"
            "[listen]\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"
            "directory = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
            "relay = 127.0.0.1:%d\n\n"
            "[fleet]\nfailure_domains = %s\nheartbeat_interval = 1500ms\n"
            "stable_window = %s\n\n"
            "[store]\nendpoint = 127.0.0.1:%d\ndeparture_bound = %s\n"
            "configuration_bound = %s\n\n"
            "[limits]\nrepeat_ratio = 0.2\nrepeat_window = 10s\n"
            "repeat_slack = 64\ncold_factor = 1.5\ncold_slack = 5\n"
            "stop_grace = %s\nmost_shifted = 0.15\n%s",
            m_name.c_str(), zone.c_str(), region.c_str(), callers, readiness,
            directory, metrics, relay, zones.c_str(), b.stable_window.c_str(),
            store_port, b.drain.c_str(), b.config_propagation.c_str(),
            b.grace.c_str(), b.further_limits.c_str());
        std::fclose(f);
    }
    ~entry() { end(); }

    void start() {
        const auto log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            FILE* out = std::fopen(log.c_str(), "a");
            ::dup2(::fileno(out), 1);
            ::dup2(::fileno(out), 2);
            const auto boot = "POLLENREEL_BOOT=" + m_settings;
            const char* path = std::getenv("PATH");
            const auto path_text = string("PATH=") + (path ? path : "");
            char* const env[] = {const_cast<char*>(boot.c_str()),
                                 const_cast<char*>(path_text.c_str()), nullptr};
            const char* program = "target/platform/pollenreel_entry";
            char* const argv[] = {const_cast<char*>(program), nullptr};
            ::execve(program, argv, env);
            std::_Exit(127);
        }
        note("%s started, process %d", m_name.c_str(), m_pid);
    }
    void signal(int number) const {
        note("%s gets signal %d", m_name.c_str(), number);
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    // Whether the process has ended by itself or by a signal.
    bool has_ended() {
        if (m_pid <= 0) {
            return true;
        }
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            note("%s ended, status %d", m_name.c_str(), status);
            m_pid = -1;
            return true;
        }
        return false;
    }
    void end() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] int pid() const { return m_pid; }
    [[nodiscard]] const string& name() const { return m_name; }
    [[nodiscard]] const string& settings() const { return m_settings; }

    const int callers = free_port();
    const int readiness = free_port();
    const int directory = free_port();
    const int metrics = free_port();
    const int relay = free_port();

private:
    string m_name;
    string m_folder;
    string m_settings;
    pid_t m_pid = -1;
};

// ---------------------------------------------------------------- clients

struct outcome {
    int status = 0; // 0: none
    bool whole = false;
    message answer;
    read_end end = read_end::timeout;
};

inline string request_text(const string& method, const string& host,
                           const string& path, const string& id, int deadline,
                           const string& body = "",
                           const string& further = "") {
    auto r = method + " " + path + " HTTP/1.1\r\nHost: " + host +
             "\r\nRequest-Attempt-Id: " + id +
             text("\r\nAffinity-Key: %zu\r\nDeadline-Remaining: %d\r\n",
                  std::hash<string>{}(id) % 1000, deadline) +
             further;
    if (method != "GET") {
        r += text("Content-Length: %zu\r\n", body.size());
    }
    return r + "\r\n" + body;
}

// Sends one request on a new connection.
inline outcome ask(int port, const string& request,
                   std::chrono::milliseconds limit) {
    outcome o;
    const int fd = connect_to(port);
    if (fd < 0) {
        o.end = read_end::closed;
        return o;
    }
    const auto until = clock::now() + limit;
    if (send_all(fd, request)) {
        reader in(fd);
        o.end = in.read(o.answer, until, true);
        if (o.end == read_end::message) {
            o.status = o.answer.status();
            o.whole = o.answer.whole;
        }
    }
    ::close(fd);
    return o;
}

inline bool entry::is_ready() const {
    return ask(readiness, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1s)
               .status == 200;
}

inline bool eventually(std::chrono::milliseconds limit,
                       const std::function<bool()>& reached) {
    const auto until = clock::now() + limit;
    while (clock::now() < until) {
        if (reached()) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

// Opens record.txt beside the script; `review/build-2.sh` builds the program
// and `run.sh` names the file.
inline void open_record() {
    ::signal(SIGPIPE, SIG_IGN);
    const char* path = std::getenv("RIG_RECORD");
    g_record = std::fopen(path == nullptr ? "record.txt" : path, "w");
}

// The case could not run.
inline int cannot_run(const char* why) {
    note("the case could not run: %s", why);
    std::fprintf(stderr, "could not run: %s\n", why);
    return 2;
}

inline int verdict(bool broken, const string& summary) {
    note("%s: %s", broken ? "BROKEN" : "held", summary.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", summary.c_str());
    return broken ? 1 : 0;
}

} // namespace rig
