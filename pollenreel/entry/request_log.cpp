#include "pollenreel/entry/request_log.hpp"

#include <chrono>

namespace pollenreel::entry {

namespace {

double ms(base::duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

// Two digits after the point are enough for people.
double rounded(double value) {
    constexpr double hundredths = 100;
    return static_cast<double>(static_cast<std::int64_t>(value * hundredths)) /
           hundredths;
}

} // namespace

void request_log::chosen(const std::string& request,
                         const dispatch::open_attempt& e, const fleet::view& v,
                         base::time_point now) {
    const auto& r = e.record;
    auto& limit =
        r.cause == dispatch::attempt_cause::first ? m_plain : m_trouble;
    if (!limit.allow(now)) {
        return;
    }
    m_log.info("target_chosen",
               {{"request", request},
                {"attempt", e.open.attempt.value()},
                {"cause", dispatch::to_string(r.cause)},
                {"route", r.route},
                {"service", r.service.str()},
                {"target", r.target.str()},
                {"rank", dispatch::to_string(r.chosen.kind.rank)},
                {"abroad", r.chosen.kind.abroad},
                {"seen", r.chosen.kind.seen},
                {"share_abroad", rounded(r.share_abroad)},
                {"candidates", r.candidates},
                {"occupancy", rounded(r.chosen.occupancy)},
                {"in_flight", r.in_flight},
                {"load_age_ms", r.load_age ? rounded(ms(*r.load_age)) : -1},
                {"wait_ms", rounded(ms(r.chosen.wait))},
                {"expected_ms", rounded(ms(r.chosen.expected))},
                {"time_left_ms", rounded(ms(r.time_left))},
                {"repeats_left", rounded(r.repeats_left)},
                {"config", v.routes->source().version.value()},
                {"view_age_ms", rounded(ms(now - v.confirmed_at))}});
}

void request_log::failed(const std::string& request,
                         const dispatch::attempt_failed& e,
                         base::time_point now) {
    if (!m_trouble.allow(now)) {
        return;
    }
    m_log.info("attempt_failed",
               {{"request", request},
                {"attempt", e.attempt.value()},
                {"target", e.target.str()},
                {"reason", request::to_string(e.failure.reason)},
                {"outcome", request::to_string(e.failure.outcome)},
                {"took_ms", rounded(ms(e.took))}});
}

void request_log::answered(const std::string& request, base::attempt_id attempt,
                           unsigned status, base::duration took, bool late,
                           base::time_point now) {
    auto& limit = late || status >= 500 ? m_trouble : m_plain;
    if (!limit.allow(now)) {
        return;
    }
    m_log.info("request_answered", {{"request", request},
                                    {"attempt", attempt.value()},
                                    {"status", status},
                                    {"late", late},
                                    {"took_ms", rounded(ms(took))}});
}

void request_log::refused(const std::string& request, const dispatch::refuse& e,
                          const fleet::view* v, base::time_point now) {
    if (!m_trouble.allow(now)) {
        return;
    }
    m_log.info(
        "request_refused",
        {{"request", request},
         {"route", e.route},
         {"reason", request::to_string(e.refusal.reason)},
         {"outcome", request::to_string(e.refusal.outcome)},
         {"attempts", e.attempts},
         {"waited_ms", rounded(ms(e.waited))},
         {"retry_after_ms", e.retry_after ? e.retry_after->count() : -1},
         {"best_target", e.best ? e.best->target->id.str() : std::string()},
         {"best_occupancy", e.best ? rounded(e.best->occupancy) : -1},
         {"best_expected_ms", e.best ? rounded(ms(e.best->expected)) : -1},
         {"config",
          v != nullptr && v->routes ? v->routes->source().version.value() : 0},
         {"view_age_ms",
          v != nullptr ? rounded(ms(now - v->confirmed_at)) : -1}});
}

void request_log::caller_left(const std::string& request, base::duration waited,
                              base::time_point now) {
    if (m_trouble.allow(now)) {
        m_log.info("caller_left",
                   {{"request", request}, {"waited_ms", rounded(ms(waited))}});
    }
}

void request_log::report_held_back() {
    const auto plain = m_plain.take_held_back();
    const auto trouble = m_trouble.take_held_back();
    if (trouble > 0) {
        m_log.warning("lines_held_back",
                      {{"plain", plain}, {"trouble", trouble}});
    }
}

} // namespace pollenreel::entry
