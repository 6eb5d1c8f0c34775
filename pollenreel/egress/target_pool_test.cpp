#include "pollenreel/egress/target_pool.hpp"

#include "pollenreel/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <map>
#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
namespace asio = boost::asio;

base::endpoint free_endpoint() {
    asio::io_context io;
    asio::ip::tcp::acceptor a(io, {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", a.local_endpoint().port()};
}

// A pool and a target on loopback, on one thread and a clock that the test
// moves. The target echoes the request id, or holds its answers back.
class bench {
public:
    bench()
        : m_at(free_endpoint()),
          m_target(m_io, options(m_at),
                   [this](const http::request& r, http::responder answer) {
                       if (silent) {
                           m_held.push_back(std::move(answer));
                           return;
                       }
                       answer({200, echo(r), "ok\n"});
                   }),
          m_pool(m_io, clock, options(), facts_of,
                 [this](const request::attempt_event& e) {
                     std::visit([&](const auto& one) { note(one); }, e);
                 }) {
        REQUIRE(m_target.start().has_value());
    }

    // Opens and sends one attempt; does not wait for its answer.
    base::attempt_id send(bool idempotent) {
        m_last = m_last.next();
        const auto id = m_last;
        request::open_attempt open;
        open.attempt = id;
        open.target.address = m_at;
        open.deadline = clock.now() + 10s;
        open.idempotent = idempotent;
        open.max_connections = 8;
        m_pool.open(open);
        run_until(id, "connected");
        m_pool.send(id, {"GET", "/", {{id_header, "r-1"}}, ""}, "r-1", 10s);
        return id;
    }
    void answer(base::attempt_id id) { run_until(id, "answered"); }
    void abandon(base::attempt_id id) { m_pool.abandon(id); }
    void close_expired() { m_pool.close_expired(); }
    [[nodiscard]] std::uint64_t connects() const {
        return m_target.counters().accepted;
    }

    base::manual_clock clock;
    bool silent = false;

private:
    static constexpr const char* id_header = "Pollenreel-Request-Id";

    static egress::target_pool_options options() {
        egress::target_pool_options o;
        o.answer_limits = {4096, 4096};
        return o;
    }
    static request::response_info facts_of(const http::response& r,
                                           std::string_view id) {
        request::response_info f;
        f.status = r.status;
        f.id_matches = http::find(r.headers, id_header) == id;
        return f;
    }
    static http::server_options options(const base::endpoint& at) {
        http::server_options o;
        o.listen = at;
        return o;
    }
    static http::headers echo(const http::request& r) {
        const auto id = http::find(r.headers, id_header);
        return {{id_header, std::string(id.value_or(""))}};
    }

    void note(const request::attempt_connected& e) {
        m_seen[e.attempt] = "connected";
    }
    void note(const request::attempt_answered& e) {
        m_seen[e.attempt] = e.response.id_matches ? "answered" : "crossed";
    }
    void note(const request::attempt_lost& e) { m_seen[e.attempt] = "lost"; }
    template <class Other>
    void note(const Other&) {}

    void run_until(base::attempt_id id, const std::string& what) {
        while (m_seen[id] != what) {
            REQUIRE(m_io.run_one() > 0);
        }
    }

    base::endpoint m_at;
    asio::io_context m_io{1};
    std::vector<http::responder> m_held;
    http::server m_target;
    std::map<base::attempt_id, std::string> m_seen;
    base::attempt_id m_last;
    egress::target_pool m_pool;
};

// Two connections that have each brought an answer.
void warm_up(bench& b) {
    const auto first = b.send(true);
    const auto second = b.send(true);
    b.answer(first);
    b.answer(second);
    b.clock.advance(10ms);
    REQUIRE(b.connects() == 2);
}

} // namespace

TEST_CASE("how many connects the next attempt brings the target to") {
    struct row {
        const char* name;
        void (*before)(bench&);
        bool idempotent;
        std::uint64_t connects;
    };
    const row rows[] = {
        {"a look-up reuses a connection", [](bench&) {}, true, 2},
        {"so does an order right after an answer", [](bench&) {}, false, 2},
        {"an order later gets a new one", [](bench& b) { b.clock.advance(2s); },
         false, 3},
        {"a look-up later does not", [](bench& b) { b.clock.advance(2s); },
         true, 2},
        {"after a silent one, those as old are not used either",
         [](bench& b) {
             b.silent = true;
             const auto lost = b.send(true);
             b.clock.advance(300ms);
             b.abandon(lost);
             b.silent = false;
         },
         true, 3},
        {"an attempt abandoned early says nothing of the others",
         [](bench& b) {
             b.silent = true;
             const auto loser = b.send(true);
             b.clock.advance(30ms);
             b.abandon(loser);
             b.silent = false;
         },
         true, 2},
        {"connections that were idle for long are closed",
         [](bench& b) {
             b.clock.advance(21s);
             b.close_expired();
         },
         true, 3},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        bench b;
        warm_up(b);
        r.before(b);
        b.answer(b.send(r.idempotent));
        CHECK(b.connects() == r.connects);
    }
}
