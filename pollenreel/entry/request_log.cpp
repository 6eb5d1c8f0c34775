#include "pollenreel/entry/request_log.hpp"

#include <chrono>

namespace pollenreel::entry {

namespace {

using json = boost::json::value;

double ms(base::duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

// Two digits after the point are enough for people.
double rounded(double value) {
    constexpr double hundredths = 100;
    return static_cast<double>(static_cast<std::int64_t>(value * hundredths)) /
           hundredths;
}

// Null where there is no value.
boost::json::value optional_ms(const std::optional<base::duration>& d) {
    return d ? boost::json::value(rounded(ms(*d))) : boost::json::value();
}

} // namespace

void request_log::chosen(const request_name& r, const dispatch::open_attempt& e,
                         const fleet::view& v, base::time_point now) {
    held_choice c{e.open.attempt, e.record, v.routes->source().version,
                  v.confirmed_at, now};
    if (e.record.cause != dispatch::attempt_cause::first) {
        if (begin_trouble(r, now)) {
            write_choice(r, c, now);
        }
    } else if (m_plain.allow(now)) {
        write_choice(r, c, now);
    } else {
        m_held.insert_or_assign(r.id, std::move(c));
    }
}

bool request_log::begin_trouble(const request_name& r, base::time_point now) {
    const auto held = m_held.find(r.id);
    if (held != m_held.end()) {
        const auto c = std::move(held->second);
        m_held.erase(held);
        if (m_trouble.allow(now)) {
            write_choice(r, c, now);
        }
    }
    return m_trouble.allow(now);
}

void request_log::write_choice(const request_name& r, const held_choice& c,
                               base::time_point now) {
    const auto& p = c.record.chosen;
    m_log.info("target_chosen",
               {{"request", r.caller_id},
                {"attempt", c.attempt.value()},
                {"ago_ms", rounded(ms(now - c.at))},
                {"cause", dispatch::to_string(c.record.cause)},
                {"route", c.record.route},
                {"tenant", c.record.tenant},
                {"service", c.record.service.str()},
                {"target", c.record.target.str()},
                {"failure_domain", c.record.failure_domain.str()},
                {"rank", dispatch::to_string(p.kind.rank)},
                {"abroad", p.kind.abroad},
                {"seen", p.kind.seen},
                {"share_abroad", rounded(c.record.share_abroad)},
                {"candidates", c.record.candidates},
                {"occupancy", rounded(p.occupancy)},
                {"in_flight", c.record.in_flight},
                {"load_age_ms", optional_ms(c.record.load_age)},
                {"wait_ms", rounded(ms(p.wait))},
                {"expected_ms", rounded(ms(p.expected))},
                {"time_left_ms", rounded(ms(c.record.time_left))},
                {"repeats_left", rounded(c.record.repeats_left)},
                {"config", c.config.value()},
                {"view_age_ms", rounded(ms(c.at - c.confirmed_at))}});
}

void request_log::failed(const request_name& r,
                         const dispatch::attempt_failed& e,
                         base::time_point now) {
    if (!begin_trouble(r, now)) {
        return;
    }
    m_log.info("attempt_failed",
               {{"request", r.caller_id},
                {"attempt", e.attempt.value()},
                {"target", e.target.str()},
                {"reason", request::to_string(e.failure.reason)},
                {"outcome", request::to_string(e.failure.outcome)},
                {"took_ms", rounded(ms(e.took))}});
}

void request_log::abandoned(const request_name& r, base::attempt_id attempt,
                            const base::target_id& target,
                            const egress::abandoned_attempt& a,
                            base::time_point now) {
    if (!m_abandoned.allow(now)) {
        return;
    }
    const auto handed_over = a.bytes ? json(a.bytes->handed_over) : json();
    const auto unacknowledged =
        a.bytes ? json(a.bytes->unacknowledged) : json();
    m_log.info("attempt_abandoned", {{"request", r.caller_id},
                                     {"attempt", attempt.value()},
                                     {"target", target.str()},
                                     {"age_ms", rounded(ms(a.age))},
                                     {"bytes_handed_over", handed_over},
                                     {"bytes_unacknowledged", unacknowledged}});
}

void request_log::answered(const request_name& r, base::attempt_id attempt,
                           unsigned status, base::duration took, bool late,
                           base::time_point now) {
    constexpr unsigned first_server_error = 500;
    const bool trouble = late || status >= first_server_error;
    const bool room = trouble ? begin_trouble(r, now) : m_plain.allow(now);
    m_held.erase(r.id);
    if (!room) {
        return;
    }
    m_log.info("request_answered", {{"request", r.caller_id},
                                    {"attempt", attempt.value()},
                                    {"status", status},
                                    {"late", late},
                                    {"took_ms", rounded(ms(took))}});
}

void request_log::refused(const request_name& r, const dispatch::refuse& e,
                          const fleet::view* v, base::time_point now) {
    if (!begin_trouble(r, now)) {
        return;
    }
    m_log.info(
        "request_refused",
        {{"request", r.caller_id},
         {"route", e.route},
         {"tenant", e.tenant},
         {"reason", request::to_string(e.refusal.reason)},
         {"outcome", request::to_string(e.refusal.outcome)},
         {"attempts", e.attempts},
         {"waited_ms", rounded(ms(e.waited))},
         {"retry_after_ms", optional_ms(e.retry_after)},
         {"best_target", e.best ? boost::json::value(e.best->target->id.str())
                                : boost::json::value()},
         {"best_occupancy", e.best
                                ? boost::json::value(rounded(e.best->occupancy))
                                : boost::json::value()},
         {"best_expected_ms",
          optional_ms(e.best ? std::optional(e.best->expected) : std::nullopt)},
         {"config",
          v != nullptr && v->routes ? v->routes->source().version.value() : 0},
         {"view_age_ms",
          optional_ms(v != nullptr ? std::optional(now - v->confirmed_at)
                                   : std::nullopt)}});
}

void request_log::target_departing(const request_name& r,
                                   const base::target_id& target) {
    m_log.info("target_departing",
               {{"request", r.caller_id}, {"target", target.str()}});
}

void request_log::target_backed_off(const request_name& r,
                                    const dispatch::target_backed_off& e,
                                    base::time_point now) {
    if (m_trouble.allow(now)) {
        m_log.info("target_backed_off", {{"request", r.caller_id},
                                         {"target", e.target.str()},
                                         {"lasts_ms", e.lasts.count()}});
    }
}

void request_log::target_limit_changed(const request_name& r,
                                       const dispatch::target_limit_changed& e,
                                       base::time_point now) {
    if (!m_trouble.allow(now)) {
        return;
    }
    m_log.info("target_limit_changed",
               {{"request", r.caller_id},
                {"target", e.target.str()},
                {"per_second", e.per_second
                                   ? boost::json::value(rounded(*e.per_second))
                                   : boost::json::value()}});
}

void request_log::target_restarted(const dispatch::target_restarted& e,
                                   base::time_point now) {
    if (m_trouble.allow(now)) {
        m_log.info("target_restarted",
                   {{"target", e.target.str()},
                    {"cold_left_ms", rounded(ms(e.cold_left))},
                    {"sent_last_second", e.sent_last_second},
                    {"cold_quota", e.cold_quota}});
    }
}

void request_log::target_found_cold(const request_name& r,
                                    const dispatch::target_found_cold& e,
                                    base::time_point now) {
    if (m_trouble.allow(now)) {
        m_log.info("target_found_cold",
                   {{"request", r.caller_id},
                    {"target", e.target.str()},
                    {"cold_left_ms", rounded(ms(e.cold_left))},
                    {"sent_last_second", e.sent_last_second},
                    {"cold_quota", e.cold_quota}});
    }
}

void request_log::cold_target_used(const request_name& r,
                                   const dispatch::cold_target_used& e,
                                   base::time_point now) {
    if (m_trouble.allow(now)) {
        m_log.info("cold_target_used",
                   {{"request", r.caller_id},
                    {"attempt", e.attempt.value()},
                    {"target", e.target.str()},
                    {"cold_left_ms", rounded(ms(e.cold_left))},
                    {"sent_last_second", e.sent_last_second},
                    {"cold_quota", e.cold_quota},
                    {"since_chosen_ms", rounded(ms(e.since_chosen))}});
    }
}

void request_log::caller_left(const request_name& r, base::duration waited,
                              std::size_t attempts, base::time_point now) {
    if (begin_trouble(r, now)) {
        m_log.info("caller_left", {{"request", r.caller_id},
                                   {"waited_ms", rounded(ms(waited))},
                                   {"attempts", attempts}});
    }
}

void request_log::report_held_back() {
    const auto plain = m_plain.take_held_back();
    const auto trouble = m_trouble.take_held_back();
    const auto abandoned = m_abandoned.take_held_back();
    if (trouble > 0 || abandoned > 0) {
        m_log.warning(
            "lines_held_back",
            {{"plain", plain}, {"trouble", trouble}, {"abandoned", abandoned}});
    }
}

} // namespace pollenreel::entry
