#include "pollenreel/entry/change_log.hpp"

#include "pollenreel/base/overloaded.hpp"

namespace pollenreel::entry {

namespace {

std::string_view to_string(fleet::effect e) {
    switch (e) {
    case fleet::effect::none:
        return "none";
    case fleet::effect::refreshed:
        return "refreshed";
    case fleet::effect::changed:
        return "changed";
    case fleet::effect::stale:
        return "stale";
    case fleet::effect::deferred:
        break;
    }
    return "deferred";
}

void log_problems(const log::logger& log, const routes::configuration& c) {
    for (const auto& p : c.problems) {
        log.warning("configuration_problem", {{"version", c.version.value()},
                                              {"entry", p.entry},
                                              {"field", p.field},
                                              {"value", p.value},
                                              {"allowed", p.allowed},
                                              {"consequence", p.consequence}});
    }
    if (c.problem_count > c.problems.size()) {
        log.warning("configuration_problems_omitted",
                    {{"version", c.version.value()},
                     {"count", c.problem_count - c.problems.size()}});
    }
    if (const auto pairs = routes::count_disjoint_homes(c); pairs > 0) {
        log.warning("configuration_homes_disjoint",
                    {{"version", c.version.value()}, {"pairs", pairs}});
    }
}

void log_evacuation(const log::logger& log, std::string_view event,
                    const base::failure_domain_id& domain,
                    const change_origin& origin) {
    log.info(event,
             {{"failure_domain", domain.str()},
              {"source", fleet::to_string(origin.source)},
              {"previous_contact_age_ms", origin.previous_contact_age.count()},
              {"revision", origin.at.value}});
}

} // namespace

void log_change(const log::logger& log, const fleet::change& c, fleet::effect e,
                const change_origin& origin) {
    if (const auto* bad = std::get_if<fleet::unreadable>(&c)) {
        return log.warning("entry_unreadable",
                           {{"key", bad->key}, {"problem", bad->problem}});
    }
    if (e == fleet::effect::none || e == fleet::effect::refreshed) {
        return;
    }
    const auto what = to_string(e);
    std::visit(base::overloaded{
                   [&](const fleet::target_written& t) {
                       log.info(
                           "target_reported",
                           {{"target", t.report.id.str()},
                            {"service", t.report.service.str()},
                            {"address", t.report.address.str()},
                            {"failure_domain", t.report.failure_domain.str()},
                            {"draining", t.report.draining},
                            {"cold_for_ms", t.report.cold_for.count()},
                            {"source", fleet::to_string(origin.source)},
                            {"previous_contact_age_ms",
                             origin.previous_contact_age.count()},
                            {"effect", what}});
                   },
                   [&](const fleet::target_removed& t) {
                       log.info("target_removed",
                                {{"target", t.id.str()},
                                 {"source", fleet::to_string(origin.source)},
                                 {"previous_contact_age_ms",
                                  origin.previous_contact_age.count()},
                                 {"effect", what}});
                   },
                   [&](const fleet::configuration_written& w) {
                       log.info("configuration_received",
                                {{"version", w.configuration.version.value()},
                                 {"routes", w.configuration.routes.size()},
                                 {"bytes", w.encoded_bytes},
                                 {"revision", origin.at.value},
                                 {"decode_ms", origin.decode_time.count()},
                                 {"transfer_ms", origin.transfer_time.count()},
                                 {"source", fleet::to_string(origin.source)},
                                 {"previous_contact_age_ms",
                                  origin.previous_contact_age.count()},
                                 {"effect", what}});
                       if (e == fleet::effect::changed) {
                           log_problems(log, w.configuration);
                       }
                   },
                   [&](const fleet::evacuation_begun& d) {
                       log_evacuation(log, "evacuation_begun", d.failure_domain,
                                      origin);
                   },
                   [&](const fleet::evacuation_ended& d) {
                       log_evacuation(log, "evacuation_ended", d.failure_domain,
                                      origin);
                   },
                   [&](const fleet::instance_written& i) {
                       log.info("instance_announced",
                                {{"instance", i.instance.id.str()},
                                 {"callers", i.instance.endpoint.str()}});
                   },
                   [&](const fleet::instance_removed& i) {
                       log.info("instance_removed", {{"instance", i.id.str()}});
                   },
                   [](const auto&) {},
               },
               c);
}

} // namespace pollenreel::entry
