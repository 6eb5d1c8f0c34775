// Checks the guarantees given to callers against every sequence of faults, on
// the newest and on the first attempt, for each kind of request.
#include "pollenreel/request/core.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace {

using namespace pollenreel;
using namespace std::chrono_literals;
using request::outcome;

constexpr base::time_point start{1h};
constexpr std::size_t longest_sequence = 5;

enum class fault {
    connected,
    connect_failed,
    lost,
    answered,
    shed,
    mismatched,
    hedge_delay,
    deadline,
    caller_gone,
    stopping,
    short_delay, // not in all_faults; only in the table below
};
constexpr std::array all_faults = {fault::connected,   fault::connect_failed,
                                   fault::lost,        fault::answered,
                                   fault::shed,        fault::mismatched,
                                   fault::hedge_delay, fault::deadline,
                                   fault::caller_gone, fault::stopping};

routing::snapshot_ptr three_targets() {
    auto s = std::make_shared<routing::snapshot>();
    auto& service = s->services[base::service_id("ledger")];
    service.kinds = {{base::kind_id("deposit"), {"POST"}, false, 10s, 0},
                     {base::kind_id("lookup"), {"GET"}, true, 10s, 1},
                     {base::kind_id("archive"), {"PUT"}, true, 10s, 9}};
    service.kinds[1].hedge_percentile = 50;
    service.kinds[2].long_running = true;
    for (const auto* id : {"ledger-1", "ledger-2", "ledger-3"}) {
        routing::target t;
        t.id = base::target_id(id);
        t.slots = 7;
        service.targets.push_back(t);
    }
    return s;
}

// One request under test, preceded by enough answered requests to determine the
// hedging delay.
class request_under_test {
public:
    request_under_test(const char* method, bool idempotent)
        : m_idempotent(idempotent), m_core({.seed = 7}) {
        (void)m_core.handle(request::snapshot_changed{three_targets()}, m_now);
        for (std::uint64_t i = 100; i < 130; ++i) {
            run_answered_request(base::request_id(i), method);
        }
        check_effects(m_core.handle(make_request(m_id, method), m_now));
    }

    void inject(fault f, bool on_first) {
        if (m_attempts.empty()) {
            return;
        }
        const auto id = on_first ? m_attempts.front() : m_attempts.back();
        const request::response_info complete_response{200, false, true};
        const request::response_info shed_response{503, true, true};
        const request::response_info mismatched_response{200, false, false};
        switch (f) {
        case fault::connected:
            return handle(request::attempt_connected{id});
        case fault::connect_failed:
            return handle(request::attempt_connect_failed{id});
        case fault::lost:
            close(id);
            return handle(request::attempt_lost{id});
        case fault::answered:
            return handle(request::attempt_answered{id, complete_response});
        case fault::shed:
            if (m_states[id] == state::sent) {
                m_states[id] = state::shed;
            }
            return handle(request::attempt_answered{id, shed_response});
        case fault::mismatched:
            close(id);
            return handle(request::attempt_answered{id, mismatched_response});
        case fault::hedge_delay:
            m_now += 1s;
            return handle(request::tick{});
        case fault::deadline:
            m_now += 10s;
            return handle(request::tick{});
        case fault::caller_gone:
            return handle(request::caller_gone{m_id});
        case fault::stopping:
            return handle(request::stop_requested{});
        case fault::short_delay:
            m_now += 20ms;
            return handle(request::tick{});
        }
    }

    [[nodiscard]] std::size_t attempts() const { return m_attempts.size(); }
    [[nodiscard]] const std::optional<request::refusal>& refused() const {
        return m_refusal;
    }
    // The first violated guarantee; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }

private:
    // closed: sent, and its connection can no longer deliver a response.
    enum class state { opened, sent, closed, shed, abandoned };

    static request::incoming_request make_request(base::request_id id,
                                                  const char* method) {
        return {id, base::service_id("ledger"), method, {}, {}};
    }

    void run_answered_request(base::request_id id, const char* method) {
        const auto out = m_core.handle(make_request(id, method), m_now);
        const auto a = std::get<request::open_attempt>(out.at(0)).attempt;
        (void)m_core.handle(request::attempt_connected{a}, m_now);
        m_now += 10ms;
        (void)m_core.handle(request::attempt_answered{a, {200, false, true}},
                            m_now);
    }

    void close(base::attempt_id id) {
        if (m_states[id] == state::sent) {
            m_states[id] = state::closed;
        }
    }

    void handle(const request::event& e) {
        check_effects(m_core.handle(e, m_now));
    }

    void check_effects(const request::effects& out) {
        for (const auto& effect : out) {
            std::visit([&](const auto& one) { check_effect(one); }, effect);
        }
    }

    void check_effect(const request::open_attempt& e) {
        require(!m_ended, "attempt opened after the request ended");
        m_attempts.push_back(e.attempt);
        m_states[e.attempt] = state::opened;
        require(m_attempts.size() <= 3, "more attempts than allowed");
    }
    void check_effect(const request::send_attempt& e) {
        require(!m_ended, "request sent after it ended");
        require(m_states[e.attempt] == state::opened, "attempt sent twice");
        require(m_idempotent || may_have_run() == 0,
                "non-idempotent request sent again");
        require(e.time_left > 0ms, "request sent with no time left");
        m_states[e.attempt] = state::sent;
    }
    void check_effect(const request::abandon_attempt& e) {
        if (m_states[e.attempt] == state::opened) {
            m_states[e.attempt] = state::abandoned;
        }
    }
    void check_effect(const request::forward_response& e) {
        require(!m_ended, "request ended twice");
        require(m_states[e.attempt] == state::sent,
                "response forwarded from an attempt that was not sent");
        m_ended = true;
    }
    void check_effect(const request::refuse_request& e) {
        require(!m_ended, "request ended twice");
        require((e.refusal.outcome == outcome::not_run) ==
                    (may_have_run() == 0),
                "wrong outcome reported");
        m_refusal = e.refusal;
        m_ended = true;
    }

    [[nodiscard]] std::size_t may_have_run() const {
        std::size_t n = 0;
        for (const auto& [id, s] : m_states) {
            n += s == state::sent || s == state::closed ? 1 : 0;
        }
        return n;
    }
    void require(bool holds, const char* rule) {
        if (!holds && m_violation.empty()) {
            m_violation = rule;
        }
    }

    base::request_id m_id{1};
    bool m_idempotent;
    base::time_point m_now = start;
    request::core m_core;
    std::vector<base::attempt_id> m_attempts;
    std::map<base::attempt_id, state> m_states;
    bool m_ended = false;
    std::optional<request::refusal> m_refusal;
    std::string m_violation;
};

struct step {
    fault what;
    bool on_first;
};

std::string run(request_under_test s, const std::vector<step>& steps) {
    for (const auto& one : steps) {
        s.inject(one.what, one.on_first);
    }
    return s.violation();
}

// Runs every extension of `steps` by `remaining` steps. Returns the first
// violated guarantee.
std::string explore(const request_under_test& initial, std::vector<step>& steps,
                    std::size_t remaining) {
    if (remaining == 0) {
        return run(initial, steps);
    }
    for (const auto f : all_faults) {
        for (const bool on_first : {false, true}) {
            // With one attempt, the first one is the newest one.
            if (on_first && steps.empty()) {
                continue;
            }
            steps.push_back({f, on_first});
            auto violation = explore(initial, steps, remaining - 1);
            steps.pop_back();
            if (!violation.empty()) {
                return violation;
            }
        }
    }
    return {};
}

} // namespace

TEST_CASE("no sequence of faults violates a guarantee") {
    struct row {
        const char* name;
        const char* method;
        bool idempotent;
        std::size_t length;
    };
    const row rows[] = {
        {"non-idempotent", "POST", false, longest_sequence - 1},
        {"idempotent and hedged", "GET", true, longest_sequence - 1},
        {"long-running", "PUT", true, longest_sequence - 2},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        std::vector<step> steps;
        CHECK(explore(request_under_test(r.method, r.idempotent), steps,
                      r.length) == "");
    }
}

TEST_CASE("effect of single faults on a request") {
    struct row {
        const char* name;
        const char* method;
        std::vector<step> steps;
        std::size_t attempts;
        std::optional<request::refusal> refused;
    };
    using request::reason;
    const row rows[] = {
        {"a non-idempotent request that was sent is not sent again",
         "POST",
         {{fault::connected, false}, {fault::lost, false}},
         1,
         {{outcome::unknown, reason::connection_lost}}},
        {"a non-idempotent request that was shed goes to another target",
         "POST",
         {{fault::connected, false}, {fault::shed, false}},
         2,
         {}},
        {"a non-idempotent request goes to another target if the connect fails",
         "POST",
         {{fault::connect_failed, false}},
         2,
         {}},
        {"a slow lookup is hedged",
         "GET",
         {{fault::connected, false}, {fault::hedge_delay, false}},
         2,
         {}},
        {"a failed hedge does not end the first attempt",
         "GET",
         {{fault::connected, false},
          {fault::hedge_delay, false},
          {fault::connect_failed, false}},
         2,
         {}},
        {"a lookup that was sent once and then cannot connect is unknown",
         "GET",
         {{fault::connected, false},
          {fault::lost, false},
          {fault::connect_failed, false},
          {fault::connect_failed, false}},
         3,
         {{outcome::unknown, reason::connect_failed}}},
        {"deadline expired before a deposit was sent",
         "POST",
         {{fault::deadline, false}},
         1,
         {{outcome::not_run, reason::deadline_expired}}},
        {"deadline expired after a lookup was sent",
         "GET",
         {{fault::connected, false}, {fault::deadline, false}},
         1,
         {{outcome::unknown, reason::deadline_expired}}},
        {"long-running work is not hedged after the delay of a lookup",
         "PUT",
         {{fault::connected, false}, {fault::short_delay, false}},
         1,
         {}},
        {"a lookup is hedged after the same delay",
         "GET",
         {{fault::connected, false}, {fault::short_delay, false}},
         2,
         {}},
        {"long-running work that is far overdue gets a second attempt",
         "PUT",
         {{fault::connected, false}, {fault::hedge_delay, false}},
         2,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const bool idempotent = std::string(r.method) != "POST";
        request_under_test s(r.method, idempotent);
        for (const auto& one : r.steps) {
            s.inject(one.what, one.on_first);
        }
        CHECK(s.violation() == "");
        CHECK(s.attempts() == r.attempts);
        CHECK(s.refused() == r.refused);
    }
}
