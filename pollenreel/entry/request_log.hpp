// Log lines about single requests: one for each decision, with what it went
// by. Bounded a second by sort: refusals, failures, repeats and late answers
// have room of their own and are not pushed out by plain successes.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/dispatch/core.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/log/rate_limit.hpp"

#include <string>

namespace pollenreel::entry {

// One thread only.
class request_log {
public:
    explicit request_log(log::logger log) : m_log(std::move(log)) {}

    // `request`: the caller's id of the request.
    void chosen(const std::string& request, const dispatch::open_attempt& e,
                const fleet::view& v, base::time_point now);
    void failed(const std::string& request, const dispatch::attempt_failed& e,
                base::time_point now);
    void answered(const std::string& request, base::attempt_id attempt,
                  unsigned status, base::duration took, bool late,
                  base::time_point now);
    void refused(const std::string& request, const dispatch::refuse& e,
                 const fleet::view* v, base::time_point now);
    void caller_left(const std::string& request, base::duration waited,
                     base::time_point now);
    // To be called about once a second: says what was held back.
    void report_held_back();

private:
    log::logger m_log;
    // Lines a second: a tenth of a busy instance's plain requests, all of a
    // few failures in a hundred.
    log::rate_limit m_plain{10};
    log::rate_limit m_trouble{100};
};

} // namespace pollenreel::entry
