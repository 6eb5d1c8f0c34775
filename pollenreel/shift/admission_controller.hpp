// Decides for each attempt of a traffic thread which region it may go to now,
// within the thread's allowances, and accounts for it until it ends. Not
// thread-safe.
//
//   shift::admission_controller c;
//   c.set_allowances(allowances);
//   auto d = c.decide({service, id, 400, own, true, {}}, now);
//   auto* a = std::get_if<shift::admission>(&d);
//   if (a) c.started(attempt, *a, now);
//   c.finished(attempt, answer_bytes, now);
#pragma once

#include "pollenreel/shift/allowances.hpp"
#include "pollenreel/shift/pacer.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <variant>

namespace pollenreel::shift {

struct candidate {
    base::service_id service;
    base::request_id request;
    std::uint64_t request_bytes = 0;
    base::region_id own;
    bool own_available = true;
    // Regions whose targets of the service accept new work, nearest first.
    std::vector<base::region_id> others;
    // 0 is shed last. Greater values may use less of the spill allowance.
    std::uint32_t priority = 0;
};

// Permission for an attempt to go to a region's targets.
struct admission {
    base::service_id service;
    base::region_id to;
    std::optional<base::shift_id> shift;
    bool leaves_region = false;
    shift::cost cost;

    friend bool operator==(const admission&, const admission&) = default;
};
enum class refusal_reason { cap, limit, headroom, no_region };
using decision = std::variant<admission, refusal_reason>;

// Traffic of one place since the previous report.
struct place_report {
    std::uint64_t started = 0;
    std::uint64_t bytes = 0;
    std::uint64_t held_back = 0; // kept in the own region or refused
    std::uint32_t in_flight = 0; // now
    // Slots that these attempts hold, not counting their network transit time.
    double slots = 0;

    friend bool operator==(const place_report&, const place_report&) = default;
};
using traffic_report = std::map<place, place_report>;
// Adds a later report of the same thread. Sums the counts and takes the current
// values from the later report.
void add(traffic_report& to, const traffic_report& later);
// Returns the report and resets its counts. Current values stay in `from`.
[[nodiscard]] traffic_report take(traffic_report& from);
// Adds a report of another thread for the same period.
void merge(traffic_report& to, const traffic_report& other);

class admission_controller {
public:
    // No allowances apply before the first call.
    void set_allowances(allowances_ptr a);

    [[nodiscard]] decision decide(const candidate& c, base::time_point now);
    // Whether `admitted`, decided earlier or for another attempt, may start
    // now.
    [[nodiscard]] bool may_start(const admission& admitted,
                                 base::time_point now) {
        return !admitted.leaves_region || fits_caps(admitted, now);
    }
    [[nodiscard]] bool has_allowances() const { return m_has_allowances; }
    void started(base::attempt_id attempt, const admission& admitted,
                 base::time_point now);
    // `answer_bytes` is empty if no complete answer arrived.
    void finished(base::attempt_id attempt,
                  std::optional<std::uint64_t> answer_bytes,
                  base::time_point now);

    // Returns the traffic since the previous call.
    [[nodiscard]] traffic_report take_report();

private:
    struct running {
        admission to;
        base::time_point since;
    };

    struct place_times {
        recent_least min_time;
        double mean_s = 0; // moving average
    };

    [[nodiscard]] const moved_traffic* find_move(const candidate& c) const;
    [[nodiscard]] bool fits_caps(const admission& admitted,
                                 base::time_point now);
    [[nodiscard]] bool within_limit(const place& p, base::time_point now);
    [[nodiscard]] decision spill(const candidate& c, const cost& expected_cost,
                                 base::time_point now);
    [[nodiscard]] std::uint64_t
    expected_answer(const base::service_id& s) const;
    // Returns the fraction of its duration for which an attempt holds a slot at
    // `p`.
    [[nodiscard]] double busy_fraction(const place& p,
                                       const base::region_id& own) const;
    void record_time(const place& p, base::duration took, base::time_point now);
    void record_answer(const base::service_id& s, std::uint64_t bytes);

    allowances_ptr m_allowances = std::make_shared<allowances>();
    bool m_has_allowances = false;
    std::map<base::shift_id, pacer> m_shift_pacers;
    std::map<base::region_id, pacer> m_link_pacers;
    std::map<place, sliding_sum> m_limit_sums;
    std::map<base::service_id, double> m_answer_bytes; // moving average
    boost::unordered_flat_map<base::attempt_id, running> m_running;
    traffic_report m_report;
    std::map<place, place_times> m_times;
    base::region_id m_own_region;
};

// Whether `id` belongs to the `fraction` of requests that a shift moves. All
// attempts of a request get the same result, and a larger fraction includes
// every request of a smaller one.
[[nodiscard]] bool moves(base::request_id id, share::ppm fraction);

} // namespace pollenreel::shift
