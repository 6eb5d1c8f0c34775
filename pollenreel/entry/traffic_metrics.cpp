#include "pollenreel/entry/traffic_metrics.hpp"

#include "pollenreel/entry/traffic.hpp"
#include "pollenreel/metrics/exposition.hpp"

#include <chrono>

namespace pollenreel::entry {

namespace {

constexpr unsigned first_server_error = 500;

metrics::outcome outcome_of(const dispatch::refuse& r) {
    return r.refusal.outcome == request::outcome::not_run
               ? metrics::outcome::not_run
               : metrics::outcome::unknown;
}

void add_requests(metrics::exposition& page, const metrics_snapshot& s) {
    const auto& c = s.requests;
    page.counter("pollenreel_requests_total", "Requests read.", c.requests);
    page.counter("pollenreel_requests_late_total",
                 "Requests answered after their target latency.", c.late);
    page.counter("pollenreel_callers_gone_total",
                 "Callers that left before their answer.", c.callers_gone);
    page.counter("pollenreel_attempts_total", "Attempts at targets.",
                 c.attempts);
    page.counter("pollenreel_attempt_repeats_total",
                 "Attempts after one that failed.", c.repeats);
    page.counter("pollenreel_attempt_hedges_total",
                 "Attempts beside one that was slow.", c.hedges);
    page.counter("pollenreel_target_checks_total",
                 "Answered checks of new connections to targets.", c.checks);
    page.counter("pollenreel_target_checks_cold_total",
                 "Of these, of targets that the store did not yet call cold.",
                 c.checks_found_cold);
    page.counter("pollenreel_target_unchecked_total",
                 "New connections to distant targets that were used without a "
                 "check.",
                 c.unchecked);
    for (const auto& [reason, count] : s.recorded.refusals) {
        page.counter("pollenreel_refusals_total",
                     "Requests that the instance answered itself.", count,
                     {{"reason", request::to_string(reason)}});
    }
    page.counter("pollenreel_malformed_requests_total",
                 "Requests that could not be read.", s.malformed);
    page.counter("pollenreel_requests_left_unread_total",
                 "Requests whose caller had left when they were read.",
                 s.left_unread);
    page.counter("pollenreel_lookups_total", "Look-ups answered.", s.lookups);
    page.counter("pollenreel_target_checks_for_others_total",
                 "Checks of targets that other instances asked for.",
                 s.checks_for_others);
    page.counter("pollenreel_sent_to_evacuated_total",
                 "Requests sent to failure domains that were known to be "
                 "evacuated.",
                 s.sent_to_evacuated);
}

void add_state(metrics::exposition& page, const metrics_snapshot& s) {
    page.gauge("pollenreel_requests_in_flight", "Requests under way.",
               static_cast<double>(s.in_flight));
    page.gauge("pollenreel_caller_connections", "Open connections of callers.",
               static_cast<double>(s.caller_connections));
    page.gauge("pollenreel_target_connections", "Open connections to targets.",
               static_cast<double>(s.target_connections));
    page.counter("pollenreel_target_connections_opened_total",
                 "Connections opened to targets.", s.target_connections_opened);
    page.counter("pollenreel_target_checks_by_others_total",
                 "Checks that other instances made for this one.",
                 s.checked_by_others);
    page.gauge("pollenreel_receiving_bytes",
               "Memory of the bodies that targets are sending, in bytes.",
               static_cast<double>(s.receiving_bytes));
    page.counter("pollenreel_responses_cut_off_total",
                 "Responses of targets beyond the limits or the memory left.",
                 s.responses_cut_off);
    if (s.view == nullptr) {
        return;
    }
    page.gauge("pollenreel_targets", "Targets that take new work.",
               static_cast<double>(s.view->targets.size()));
    page.gauge("pollenreel_instances", "Live entry instances known.",
               static_cast<double>(s.view->instances.size()));
    page.gauge(
        "pollenreel_view_age_seconds", "Time since the store last answered.",
        std::chrono::duration<double>(s.now - s.view->confirmed_at).count());
    if (s.keys_age) {
        page.gauge("pollenreel_keys_confirmed_age_seconds",
                   "Time since the keys of tenants were last confirmed.",
                   std::chrono::duration<double>(*s.keys_age).count());
    }
    if (s.view->routes) {
        page.gauge(
            "pollenreel_configuration_version",
            "Version of the configuration in use.",
            static_cast<double>(s.view->routes->source().version.value()));
    }
}

void add_loops(metrics::exposition& page, const metrics_snapshot& s) {
    constexpr const char* name =
        "pollenreel_event_loop_delay_milliseconds_total";
    constexpr const char* help = "Time by which periodic timers ran late.";
    const auto add = [&](const char* thread, std::chrono::milliseconds delay) {
        page.counter(name, help, static_cast<std::uint64_t>(delay.count()),
                     {{"thread", thread}});
    };
    add("traffic", s.loop_delay);
    add("control", s.control.control_loop.total());
}

void add_store(metrics::exposition& page, const control_counts& c) {
    page.counter("pollenreel_store_calls_total", "Calls to the store.",
                 c.store_calls);
    page.counter("pollenreel_store_failures_total",
                 "Calls to the store that brought no usable answer.",
                 c.store_failures);
    page.counter("pollenreel_store_watch_returns_total",
                 "Batches of changes received.", c.store_watch_returns);
    page.counter("pollenreel_unreadable_entries_total",
                 "Entries of the store that could not be used.",
                 c.unreadable_entries);
    page.counter("pollenreel_configuration_problems_total",
                 "Entries and fields of configurations that could not be read.",
                 c.configuration_problems);
    page.counter("pollenreel_relay_asks_total",
                 "Times another instance was asked for changes of the store.",
                 c.relay_asks);
    page.counter("pollenreel_relay_failures_total",
                 "Of these, without an answer that could be used.",
                 c.relay_failures);
    page.counter("pollenreel_relay_answers_total",
                 "Answers to other instances that asked for changes.",
                 c.relay_answers);
    page.counter("pollenreel_relay_answer_bytes_total",
                 "Bytes in answers to other instances that asked for changes.",
                 c.relay_answer_bytes);
    page.counter("pollenreel_value_transfers_total",
                 "Transfers of large values from relays and the store.",
                 c.value_transfers);
    page.counter("pollenreel_value_transfer_failures_total",
                 "Of these, without a value.", c.value_transfer_failures);
    page.counter("pollenreel_value_bytes_total",
                 "Bytes of the large values received.", c.value_bytes);
}

// Nothing where the instance never took part in an exchange.
void add_exchange(metrics::exposition& page, const control_counts& c) {
    const auto role = c.exchange_role.load();
    if (c.exchange_calls == 0 && role == fleet::exchange_role::none) {
        return;
    }
    page.counter("pollenreel_exchange_calls_total",
                 "Reports to hubs and requests for sums of other regions.",
                 c.exchange_calls);
    page.counter("pollenreel_exchange_failures_total",
                 "Of these, without an answer that could be used.",
                 c.exchange_failures);
    page.counter("pollenreel_exchange_bytes_total",
                 "Bytes of the exchange, sent and received.", c.exchange_bytes);
    for (const auto r :
         {fleet::exchange_role::reporter, fleet::exchange_role::hub}) {
        page.gauge("pollenreel_exchange_role",
                   "1 for the role of the instance in the exchange.",
                   r == role ? 1 : 0,
                   {{"role", std::string(fleet::to_string(r))}});
    }
}

} // namespace

void traffic_metrics::answered(const base::service_id& service, unsigned status,
                               base::duration took, bool in_time) {
    metrics::series s;
    s.service = service;
    s.outcome = status >= first_server_error ? metrics::outcome::target_error
                                             : metrics::outcome::answered;
    m_requests.record(s, took, in_time);
}

void traffic_metrics::refused(const dispatch::refuse& r, base::duration took) {
    ++m_refusals[r.refusal.reason];
    metrics::series s;
    s.outcome = outcome_of(r);
    m_requests.record(s, took, false);
}

std::string metrics_text(const metrics_snapshot& s) {
    metrics::exposition page;
    add_requests(page, s);
    add_state(page, s);
    add_loops(page, s);
    add_store(page, s.control);
    add_exchange(page, s.control);
    page.requests(s.recorded.requests);
    return page.text();
}

} // namespace pollenreel::entry
