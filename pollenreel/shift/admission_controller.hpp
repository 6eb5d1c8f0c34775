// Spends a traffic thread's allowances: says for each attempt to which region
// it may go now, and accounts for it until it is over. One thread only.
//
//   shift::spender s;
//   s.set(allowances);
//   auto d = s.decide({service, id, 400, own, true, {}}, now);
//   if (auto* g = std::get_if<shift::go>(&d)) s.started(attempt, *g, now);
//   s.finished(attempt, answer_bytes, now);
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
    // Regions whose targets of the service take new work, nearest first.
    std::vector<base::region_id> others;
    // 0 is shed last. Lower priorities are given less of the spill.
    std::uint32_t priority = 0;
};

// To a region's targets.
struct admission {
    base::service_id service;
    base::region_id to;
    std::optional<base::shift_id> shift;
    bool leaves_region = false; // leaves the own region
    shift::cost cost;

    friend bool operator==(const admission&, const admission&) = default;
};
enum class refusal_reason { cap, limit, headroom, no_region };
using decision = std::variant<admission, refusal_reason>;

// What was done for one place since the last report.
struct place_report {
    std::uint64_t started = 0;
    std::uint64_t bytes = 0;
    std::uint64_t held_back = 0; // stayed or was refused for the cap
    std::uint32_t in_flight = 0; // now
    // Of the place's slots that these hold: without their time on the way.
    double slots = 0;

    friend bool operator==(const place_report&, const place_report&) = default;
};
using traffic_report = std::map<place, place_report>;
// Adds a later report of the same thread: counts add up, the rest is as of
// the later one.
void add(traffic_report& to, const traffic_report& later);
// Takes the counts out of `from`; what is as of now stays.
[[nodiscard]] traffic_report take(traffic_report& from);
// Adds a report of another thread for the same time.
void merge(traffic_report& to, const traffic_report& other);

class admission_controller {
public:
    // From the first call on; before it there is nothing to keep to.
    void set_allowances(allowances_ptr a);

    [[nodiscard]] decision decide(const candidate& c, base::time_point now);
    // Whether `g`, decided a while ago or for another attempt, may still go.
    [[nodiscard]] bool may_start(const admission& admitted,
                                 base::time_point now) {
        return !admitted.leaves_region || fits_caps(admitted, now);
    }
    [[nodiscard]] bool has_allowances() const { return m_has_allowances; }
    void started(base::attempt_id attempt, const admission& admitted,
                 base::time_point now);
    // `answer_bytes` is empty when no whole answer came.
    void finished(base::attempt_id attempt,
                  std::optional<std::uint64_t> answer_bytes,
                  base::time_point now);

    // Counts since the previous call.
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
    // The part of its time that an attempt at `p` holds a slot there.
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

// Whether `id` is among the `fraction` of requests that a shift moves. The
// same for every attempt of a request, and a greater fraction only adds.
[[nodiscard]] bool moves(base::request_id id, share::ppm fraction);

} // namespace pollenreel::shift
