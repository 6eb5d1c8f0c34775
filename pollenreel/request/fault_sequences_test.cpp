// Every sequence of faults on the newest and the first attempt, for each kind
// of request, against the rules that callers rely on.
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
    crossed,
    hedge_time,
    deadline,
    caller_gone,
    stopping,
    short_wait, // in no sequence; for the table below
};
constexpr std::array all_faults = {fault::connected,   fault::connect_failed,
                                   fault::lost,        fault::answered,
                                   fault::shed,        fault::crossed,
                                   fault::hedge_time,  fault::deadline,
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

// One request under test, after enough answered ones to time a hedge by.
class subject {
public:
    subject(const char* method, bool idempotent)
        : m_idempotent(idempotent), m_core({.seed = 7}) {
        (void)m_core.handle(request::snapshot_changed{three_targets()}, m_now);
        for (std::uint64_t i = 100; i < 130; ++i) {
            answer_one(base::request_id(i), method);
        }
        take(m_core.handle(arrive(m_id, method), m_now));
    }

    void meet(fault f, bool on_first) {
        if (m_attempts.empty()) {
            return;
        }
        const auto id = on_first ? m_attempts.front() : m_attempts.back();
        const request::response_info whole{200, false, true};
        const request::response_info refused{503, true, true};
        const request::response_info anothers{200, false, false};
        switch (f) {
        case fault::connected:
            return pass(request::attempt_connected{id});
        case fault::connect_failed:
            return pass(request::attempt_connect_failed{id});
        case fault::lost:
            close(id);
            return pass(request::attempt_lost{id});
        case fault::answered:
            return pass(request::attempt_answered{id, whole});
        case fault::shed:
            if (m_state[id] == state::sent) {
                m_state[id] = state::shed;
            }
            return pass(request::attempt_answered{id, refused});
        case fault::crossed:
            close(id);
            return pass(request::attempt_answered{id, anothers});
        case fault::hedge_time:
            m_now += 1s;
            return pass(request::tick{});
        case fault::deadline:
            m_now += 10s;
            return pass(request::tick{});
        case fault::caller_gone:
            return pass(request::caller_gone{m_id});
        case fault::stopping:
            return pass(request::stop_requested{});
        case fault::short_wait:
            m_now += 20ms;
            return pass(request::tick{});
        }
    }

    [[nodiscard]] std::size_t attempts() const { return m_attempts.size(); }
    [[nodiscard]] const std::optional<request::refusal>& refused() const {
        return m_refused;
    }
    // Empty when every rule held.
    [[nodiscard]] const std::string& broken() const { return m_broken; }

private:
    // Closed: sent, and nothing that comes later is its answer.
    enum class state { opened, sent, closed, shed, abandoned };

    static request::incoming_request arrive(base::request_id id,
                                            const char* method) {
        return {id, base::service_id("ledger"), method, {}, {}};
    }

    void answer_one(base::request_id id, const char* method) {
        const auto out = m_core.handle(arrive(id, method), m_now);
        const auto a = std::get<request::open_attempt>(out.at(0)).attempt;
        (void)m_core.handle(request::attempt_connected{a}, m_now);
        m_now += 10ms;
        (void)m_core.handle(request::attempt_answered{a, {200, false, true}},
                            m_now);
    }

    void close(base::attempt_id id) {
        if (m_state[id] == state::sent) {
            m_state[id] = state::closed;
        }
    }

    void pass(const request::event& e) { take(m_core.handle(e, m_now)); }

    void take(const request::effects& out) {
        for (const auto& effect : out) {
            std::visit([&](const auto& one) { see(one); }, effect);
        }
    }

    void see(const request::open_attempt& e) {
        expect(!m_over, "opened after the end");
        m_attempts.push_back(e.attempt);
        m_state[e.attempt] = state::opened;
        expect(m_attempts.size() <= 3, "more attempts than allowed");
    }
    void see(const request::send_attempt& e) {
        expect(!m_over, "sent after the end");
        expect(m_state[e.attempt] == state::opened, "sent twice");
        expect(m_idempotent || may_have_run() == 0, "sent an order again");
        expect(e.time_left > 0ms, "sent with no time left");
        m_state[e.attempt] = state::sent;
    }
    void see(const request::abandon_attempt& e) {
        if (m_state[e.attempt] == state::opened) {
            m_state[e.attempt] = state::abandoned;
        }
    }
    void see(const request::forward_response& e) {
        expect(!m_over, "ended twice");
        expect(m_state[e.attempt] == state::sent, "answer of nothing sent");
        m_over = true;
    }
    void see(const request::refuse_request& e) {
        expect(!m_over, "ended twice");
        expect((e.refusal.outcome == outcome::not_run) == (may_have_run() == 0),
               "said the wrong outcome");
        m_refused = e.refusal;
        m_over = true;
    }

    [[nodiscard]] std::size_t may_have_run() const {
        std::size_t n = 0;
        for (const auto& [id, s] : m_state) {
            n += s == state::sent || s == state::closed ? 1 : 0;
        }
        return n;
    }
    void expect(bool held, const char* rule) {
        if (!held && m_broken.empty()) {
            m_broken = rule;
        }
    }

    base::request_id m_id{1};
    bool m_idempotent;
    base::time_point m_now = start;
    request::core m_core;
    std::vector<base::attempt_id> m_attempts;
    std::map<base::attempt_id, state> m_state;
    bool m_over = false;
    std::optional<request::refusal> m_refused;
    std::string m_broken;
};

struct step {
    fault what;
    bool on_first;
};

std::string run(subject s, const std::vector<step>& steps) {
    for (const auto& one : steps) {
        s.meet(one.what, one.on_first);
    }
    return s.broken();
}

// Extends `steps` in every way up to `left` more; the first broken rule.
std::string explore(const subject& fresh, std::vector<step>& steps,
                    std::size_t left) {
    if (left == 0) {
        return run(fresh, steps);
    }
    for (const auto f : all_faults) {
        for (const bool on_first : {false, true}) {
            // The first attempt differs from the newest only once there are
            // several.
            if (on_first && steps.empty()) {
                continue;
            }
            steps.push_back({f, on_first});
            auto broken = explore(fresh, steps, left - 1);
            steps.pop_back();
            if (!broken.empty()) {
                return broken;
            }
        }
    }
    return {};
}

} // namespace

TEST_CASE("no sequence of faults breaks a rule") {
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
        CHECK(explore(subject(r.method, r.idempotent), steps, r.length) == "");
    }
}

TEST_CASE("what each fault makes of a request") {
    struct row {
        const char* name;
        const char* method;
        std::vector<step> steps;
        std::size_t attempts;
        std::optional<request::refusal> refused;
    };
    using request::reason;
    const row rows[] = {
        {"an order that was sent is not sent again",
         "POST",
         {{fault::connected, false}, {fault::lost, false}},
         1,
         {{outcome::unknown, reason::connection_lost}}},
        {"an order that a target shed goes to another",
         "POST",
         {{fault::connected, false}, {fault::shed, false}},
         2,
         {}},
        {"an order whose connect failed goes to another",
         "POST",
         {{fault::connect_failed, false}},
         2,
         {}},
        {"a look-up that takes long is hedged",
         "GET",
         {{fault::connected, false}, {fault::hedge_time, false}},
         2,
         {}},
        {"a hedge that fails leaves the first attempt its chance",
         "GET",
         {{fault::connected, false},
          {fault::hedge_time, false},
          {fault::connect_failed, false}},
         2,
         {}},
        {"a look-up that was sent once and then found no target is unknown",
         "GET",
         {{fault::connected, false},
          {fault::lost, false},
          {fault::connect_failed, false},
          {fault::connect_failed, false}},
         3,
         {{outcome::unknown, reason::connect_failed}}},
        {"a deposit at its deadline before it was sent",
         "POST",
         {{fault::deadline, false}},
         1,
         {{outcome::not_run, reason::deadline_expired}}},
        {"a look-up at its deadline after it was sent",
         "GET",
         {{fault::connected, false}, {fault::deadline, false}},
         1,
         {{outcome::unknown, reason::deadline_expired}}},
        {"long work is not hedged like a look-up",
         "PUT",
         {{fault::connected, false}, {fault::short_wait, false}},
         1,
         {}},
        {"a look-up is, after as long",
         "GET",
         {{fault::connected, false}, {fault::short_wait, false}},
         2,
         {}},
        {"long work that is far overdue gets a second attempt",
         "PUT",
         {{fault::connected, false}, {fault::hedge_time, false}},
         2,
         {}},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const bool idempotent = std::string(r.method) != "POST";
        subject s(r.method, idempotent);
        for (const auto& one : r.steps) {
            s.meet(one.what, one.on_first);
        }
        CHECK(s.broken() == "");
        CHECK(s.attempts() == r.attempts);
        CHECK(s.refused() == r.refused);
    }
}
