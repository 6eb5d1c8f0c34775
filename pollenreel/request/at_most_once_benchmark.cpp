#include "pollenreel/request/benchmarks.hpp"
#include "pollenreel/request/core.hpp"
#include "testing/request/event_queue.hpp"

#include <fmt/format.h>

#include <chrono>
#include <map>

namespace pollenreel::request {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint64_t requests = 20'000; // each second one an order
constexpr std::size_t targets = 6;
constexpr milliseconds deadline{100};

// What becomes of one attempt. Each but `served` is a fault; the target has
// run the request from `dies_after_running` on.
enum class fate {
    connect_refused,
    connect_hangs,
    lost_before_write,
    lost_in_write,
    shed,
    silent_before_running,
    dies_after_running,
    answer_lost,
    answer_cut_short,
    answer_crossed,
    answer_late,
    served,
    count,
};

bool runs(fate f) {
    return f >= fate::dies_after_running;
}

struct violations {
    std::uint64_t run_twice = 0;
    std::uint64_t not_run_that_ran = 0;
    std::uint64_t wrong_answers = 0; // crossed or short, passed on as whole
};

// Non-idempotent and idempotent requests, each attempt of which meets a
// random fate, while callers leave and the instance stops at random moments.
class trial {
public:
    trial(std::uint64_t seed, bool orders_declared_idempotent)
        : m_random(seed), m_core({.seed = seed}) {
        auto s = std::make_shared<routing::snapshot>();
        auto& service = s->services[m_service];
        service.kinds = {{base::kind_id("order"), {"POST"}, false, deadline, 0},
                         {base::kind_id("browse"), {"GET"}, true, deadline, 1}};
        service.kinds[0].idempotent = orders_declared_idempotent;
        service.kinds[0].retry_budget_percent = 100;
        service.kinds[1].retry_budget_percent = 100;
        service.kinds[1].hedge_percentile = 50;
        service.kinds[1].hedge_budget_percent = 100;
        for (std::size_t i = 0; i < targets; ++i) {
            routing::target t;
            t.id = base::target_id(fmt::format("target-{}", i));
            t.slots = 6;
            service.targets.push_back(std::move(t));
        }
        handle(snapshot_changed{s});
    }

    violations go() {
        for (std::uint64_t i = 1; i <= requests; ++i) {
            const bool order = i % 2 == 0;
            m_queue.at(m_queue.now() + i * 2ms, [this, i, order] {
                handle(incoming_request{base::request_id(i),
                                        m_service,
                                        order ? "POST" : "GET",
                                        {},
                                        {}});
            });
            if (m_random.below(20) == 0) {
                m_queue.after(i * 2ms + draw(60), [this, i] {
                    handle(caller_gone{base::request_id(i)});
                });
            }
        }
        m_queue.after(requests * 2ms - 50ms,
                      [this] { handle(stop_requested{}); });
        while (m_queue.step(base::time_point::max())) {
        }
        return count();
    }

private:
    struct life {
        std::uint64_t runs = 0;
        bool said_not_run = false;
        bool wrong_answer = false;
    };
    struct attempt_state {
        base::request_id request;
        fate ends = fate::served;
    };

    milliseconds draw(std::uint64_t below) {
        return milliseconds(m_random.below(below));
    }

    void handle(const event& e) {
        for (const auto& effect : m_core.handle(e, m_queue.now())) {
            std::visit([&](const auto& one) { carry_out(one); }, effect);
        }
        if (const auto next = m_core.next_wakeup()) {
            m_queue.at(std::max(*next, m_queue.now()), [this] { wake(); });
        }
    }

    void wake() {
        const auto next = m_core.next_wakeup();
        if (next && *next <= m_queue.now()) {
            handle(tick{});
        }
    }

    void later(event e) {
        m_queue.after(draw(20), [this, e = std::move(e)] { handle(e); });
    }

    void carry_out(const open_attempt& e) {
        const auto last = static_cast<std::uint64_t>(fate::count);
        // Half of the attempts go well, else little would be under way.
        const auto drawn = std::min(m_random.below(2 * last), last - 1);
        const auto f = static_cast<fate>(drawn);
        m_attempts[e.attempt] = {e.request, f};
        switch (f) {
        case fate::connect_refused:
            return later(attempt_connect_failed{e.attempt});
        case fate::connect_hangs:
            return;
        case fate::lost_before_write:
            return later(attempt_lost{e.attempt});
        default:
            return later(attempt_connected{e.attempt});
        }
    }

    // From here on the request is on its way: what the target does with it
    // no longer depends on what the instance does.
    void carry_out(const send_attempt& e) {
        const auto a = m_attempts.at(e.attempt);
        m_queue.after(draw(10), [this, a] {
            m_lives[a.request].runs += runs(a.ends) ? 1 : 0;
        });
        response_info whole{200, false, true};
        switch (a.ends) {
        case fate::silent_before_running:
            return;
        case fate::shed:
            whole.shed = true;
            return later(attempt_answered{e.attempt, whole});
        case fate::answer_crossed:
            whole.id_matches = false;
            return later(attempt_answered{e.attempt, whole});
        case fate::answer_late:
            m_queue.after(deadline + draw(20), [this, id = e.attempt, whole] {
                handle(attempt_answered{id, whole});
            });
            return;
        case fate::served:
            return later(attempt_answered{e.attempt, whole});
        default:
            return later(attempt_lost{e.attempt});
        }
    }

    void carry_out(const abandon_attempt&) {}

    void carry_out(const forward_response& e) {
        const auto& a = m_attempts.at(e.attempt);
        const bool own_and_whole =
            a.request == e.request &&
            (a.ends == fate::served || a.ends == fate::answer_late);
        m_lives[e.request].wrong_answer = !own_and_whole;
    }

    void carry_out(const refuse_request& e) {
        m_lives[e.request].said_not_run = e.refusal.outcome == outcome::not_run;
    }

    [[nodiscard]] violations count() const {
        violations v;
        for (const auto& [id, l] : m_lives) {
            const bool order = id.value() % 2 == 0;
            v.run_twice += order && l.runs > 1 ? 1 : 0;
            v.not_run_that_ran += l.said_not_run && l.runs > 0 ? 1 : 0;
            v.wrong_answers += l.wrong_answer ? 1 : 0;
        }
        return v;
    }

    const base::service_id m_service{"order-book"};
    testing::event_queue m_queue;
    base::random m_random;
    core m_core;
    std::map<base::request_id, life> m_lives;
    std::map<base::attempt_id, attempt_state> m_attempts;
};

measure::results report(std::uint64_t seed) {
    const auto ours = trial(seed, false).go();
    const auto simplest = trial(seed, true).go();
    const std::string name = "at_most_once";
    const auto none = [&](const char* what, std::uint64_t seen,
                          std::uint64_t by_simplest) {
        return make_bounded_result({name, what, seed},
                                   static_cast<double>(seen), "requests", 0,
                                   static_cast<double>(by_simplest));
    };
    return {none("orders run twice", ours.run_twice, simplest.run_twice),
            none("not-run that ran", ours.not_run_that_ran,
                 simplest.not_run_that_ran),
            none("crossed or short answers", ours.wrong_answers,
                 simplest.wrong_answers)};
}

} // namespace

measure::results measure_at_most_once() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
