// Log lines about single requests: one for each decision, with what it went
// by. Bounded a second by sort: refusals, failures, repeats and late answers
// have room of their own and are not pushed out by plain successes.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/egress/target_pool.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/log/rate_limit.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <string>

namespace pollenreel::entry {

// One thread only.
class request_log {
public:
    // How a request is named: inside the instance, and by its caller.
    struct request_name {
        base::request_id id;
        const std::string& caller_id;
    };

    explicit request_log(log::logger log) : m_log(std::move(log)) {}

    void chosen(const request_name& r, const dispatch::open_attempt& e,
                const fleet::view& v, base::time_point now);
    void failed(const request_name& r, const dispatch::attempt_failed& e,
                base::time_point now);
    void abandoned(const request_name& r, base::attempt_id attempt,
                   const base::target_id& target,
                   const egress::abandoned_attempt& a, base::time_point now);
    void answered(const request_name& r, base::attempt_id attempt,
                  unsigned status, base::duration took, bool late,
                  base::time_point now);
    void refused(const request_name& r, const dispatch::refuse& e,
                 const fleet::view* v, base::time_point now);
    void caller_left(const request_name& r, base::duration waited,
                     std::size_t attempts, base::time_point now);
    void target_departing(const request_name& r, const base::target_id& target);
    void target_backed_off(const request_name& r,
                           const dispatch::target_backed_off& e,
                           base::time_point now);
    void target_limit_changed(const request_name& r,
                              const dispatch::target_limit_changed& e,
                              base::time_point now);
    void target_restarted(const dispatch::target_restarted& e,
                          base::time_point now);
    void target_found_cold(const request_name& r,
                           const dispatch::target_found_cold& e,
                           base::time_point now);
    void cold_target_used(const request_name& r,
                          const dispatch::cold_target_used& e,
                          base::time_point now);
    // To be called about once a second: says what was held back.
    void report_held_back();

private:
    // A choice whose line was held back, in case the request ends badly.
    struct held_choice {
        base::attempt_id attempt;
        dispatch::choice_record record;
        base::config_version config;
        base::time_point confirmed_at;
        base::time_point at;
    };

    // Whether there is room for a line of a request in trouble; then what was
    // held back of it is written first.
    bool begin_trouble(const request_name& r, base::time_point now);
    void write_choice(const request_name& r, const held_choice& c,
                      base::time_point now);

    log::logger m_log;
    // Lines a second: a tenth of a busy instance's plain requests, all of a
    // few failures in a hundred.
    log::rate_limit m_plain{10};
    log::rate_limit m_trouble{100};
    log::rate_limit m_abandoned{50}; // attempts; their requests end otherwise
    boost::unordered_flat_map<base::request_id, held_choice> m_held;
};

} // namespace pollenreel::entry
