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

constexpr std::uint64_t requests = 20'000; // every second one is an order
constexpr std::size_t targets = 6;
constexpr milliseconds deadline{100};

// What happens to one attempt. All but `served` are faults. From
// `dies_after_running` on, the target has executed the request.
enum class attempt_scenario {
    connect_refused,
    connect_hangs,
    lost_before_write,
    lost_in_write,
    shed,
    silent_before_running,
    dies_after_running,
    response_lost,
    response_truncated,
    response_mismatched,
    response_late,
    served,
    count,
};

bool executes_request(attempt_scenario scenario) {
    return scenario >= attempt_scenario::dies_after_running;
}

struct violations {
    std::uint64_t run_twice = 0;
    std::uint64_t not_run_that_ran = 0;
    // Forwarded responses that were truncated or belonged to another request.
    std::uint64_t wrong_answers = 0;
};

// Sends non-idempotent and idempotent requests, with a random scenario for each
// attempt, while callers disconnect at random times and the instance stops.
class fault_simulation {
public:
    fault_simulation(std::uint64_t seed, bool orders_declared_idempotent)
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

    violations run() {
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
                m_queue.after(i * 2ms + random_delay(60), [this, i] {
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
    struct request_record {
        std::uint64_t runs = 0;
        bool reported_not_run = false;
        bool wrong_answer = false;
    };
    struct attempt_state {
        base::request_id request;
        attempt_scenario scenario = attempt_scenario::served;
    };

    milliseconds random_delay(std::uint64_t below) {
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

    void handle_later(event e) {
        m_queue.after(random_delay(20),
                      [this, e = std::move(e)] { handle(e); });
    }

    void carry_out(const open_attempt& e) {
        const auto last = static_cast<std::uint64_t>(attempt_scenario::count);
        // Half of the attempts are served; otherwise few requests would be in
        // flight.
        const auto index = std::min(m_random.below(2 * last), last - 1);
        const auto f = static_cast<attempt_scenario>(index);
        m_attempts[e.attempt] = {e.request, f};
        switch (f) {
        case attempt_scenario::connect_refused:
            return handle_later(attempt_connect_failed{e.attempt});
        case attempt_scenario::connect_hangs:
            return;
        case attempt_scenario::lost_before_write:
            return handle_later(attempt_lost{e.attempt});
        default:
            return handle_later(attempt_connected{e.attempt});
        }
    }

    // The request has left the instance, so the scenario continues at the
    // target even if the instance abandons the attempt.
    void carry_out(const send_attempt& e) {
        const auto a = m_attempts.at(e.attempt);
        m_queue.after(random_delay(10), [this, a] {
            m_requests[a.request].runs += executes_request(a.scenario) ? 1 : 0;
        });
        response_info response{200, false, true};
        switch (a.scenario) {
        case attempt_scenario::silent_before_running:
            return;
        case attempt_scenario::shed:
            response.shed = true;
            return handle_later(attempt_answered{e.attempt, response});
        case attempt_scenario::response_mismatched:
            response.id_matches = false;
            return handle_later(attempt_answered{e.attempt, response});
        case attempt_scenario::response_late:
            m_queue.after(deadline + random_delay(20),
                          [this, id = e.attempt, response] {
                              handle(attempt_answered{id, response});
                          });
            return;
        case attempt_scenario::served:
            return handle_later(attempt_answered{e.attempt, response});
        default:
            return handle_later(attempt_lost{e.attempt});
        }
    }

    void carry_out(const abandon_attempt&) {}

    void carry_out(const forward_response& e) {
        const auto& a = m_attempts.at(e.attempt);
        const bool correct = a.request == e.request &&
                             (a.scenario == attempt_scenario::served ||
                              a.scenario == attempt_scenario::response_late);
        m_requests[e.request].wrong_answer = !correct;
    }

    void carry_out(const refuse_request& e) {
        m_requests[e.request].reported_not_run =
            e.refusal.outcome == outcome::not_run;
    }

    [[nodiscard]] violations count() const {
        violations v;
        for (const auto& [id, l] : m_requests) {
            const bool order = id.value() % 2 == 0;
            v.run_twice += order && l.runs > 1 ? 1 : 0;
            v.not_run_that_ran += l.reported_not_run && l.runs > 0 ? 1 : 0;
            v.wrong_answers += l.wrong_answer ? 1 : 0;
        }
        return v;
    }

    const base::service_id m_service{"order-book"};
    testing::event_queue m_queue;
    base::random m_random;
    core m_core;
    std::map<base::request_id, request_record> m_requests;
    std::map<base::attempt_id, attempt_state> m_attempts;
};

measure::results report(std::uint64_t seed) {
    const auto ours = fault_simulation(seed, false).run();
    const auto baseline = fault_simulation(seed, true).run();
    const std::string name = "at_most_once";
    const auto count_result = [&](const char* what, std::uint64_t count,
                                  std::uint64_t by_baseline) {
        return make_bounded_result({name, what, seed},
                                   static_cast<double>(count), "requests", 0,
                                   static_cast<double>(by_baseline));
    };
    return {
        count_result("orders run twice", ours.run_twice, baseline.run_twice),
        count_result("not-run that ran", ours.not_run_that_ran,
                     baseline.not_run_that_ran),
        count_result("crossed or short answers", ours.wrong_answers,
                     baseline.wrong_answers)};
}

} // namespace

measure::results measure_at_most_once() {
    return for_each_seed(report);
}

} // namespace pollenreel::request
