// A driver of dispatch::core and responses of targets, for its tests.
#pragma once

#include "pollenreel/dispatch/core.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace pollenreel::dispatch::testing {

using namespace std::chrono_literals;

// A core with a view of a few targets and a clock that the test advances.
class driver {
public:
    explicit driver(bool idempotent, std::size_t targets = 3,
                    options o = make_options())
        : m_core(std::move(o)) {
        publish(idempotent, targets, {});
    }

    static options make_options() {
        options o;
        o.seed = 1;
        o.self = base::instance_id("i-1");
        o.region = base::region_id("khomas");
        o.limits.repeats = {0.2, 10s, 64};
        o.limits.cold_factor = 1.5;
        o.limits.cold_slack = 5;
        o.limits.most_shifted = 0.15;
        return o;
    }

    void publish(bool idempotent, std::size_t targets,
                 base::time_point cold_until, std::int64_t incarnation = 1,
                 bool instances_known = true, std::size_t other_instances = 0,
                 base::duration contact_age = 0s) {
        routes::configuration c;
        c.version = base::config_version(1);
        routes::route r;
        r.id = "r";
        r.host = "shop.example";
        r.path_prefix = "/orders/";
        r.idempotent = idempotent;
        r.timeout = 1200ms;
        r.target_latency = 400ms;
        r.max_attempts = 2;
        r.services = {{base::service_id("s"), 1}};
        r.sticky = true;
        c.routes.push_back(r);
        r.path_prefix = "/withheld/";
        r.withheld = true;
        c.routes.push_back(r);
        c.services.push_back({base::service_id("s"), 100, 3s, 7.6});
        auto v = std::make_shared<fleet::view>();
        v->routes = std::make_shared<routes::route_table>(std::move(c));
        for (std::size_t i = 0; i < targets; ++i) {
            fleet::target t;
            t.id = base::target_id("t-" + std::to_string(i));
            t.service = base::service_id("s");
            t.region = base::region_id("khomas");
            t.slots = 4;
            t.incarnation = incarnation;
            t.cold_until = cold_until;
            v->targets.push_back(t);
        }
        for (std::size_t i = 0; i <= other_instances; ++i) {
            fleet::instance one;
            one.id = base::instance_id("i-" + std::to_string(i + 1));
            v->instances.push_back(one);
        }
        v->instances_known = instances_known;
        v->confirmed_at = now - contact_age;
        handle(view_changed{v});
    }

    effects handle(const event& e) { return m_core.handle(e, now); }

    effects arrive(const std::string& path = "/orders/7",
                   const std::string& object = "7") {
        m_last = m_last.next();
        return handle(arrival{m_last, "shop.example", path, object, 3000ms});
    }

    core& tested_core() { return m_core; }
    base::time_point now{std::chrono::hours(1)};

private:
    core m_core;
    base::request_id m_last;
};

template <class Effect>
const Effect* find(const effects& all) {
    for (const auto& e : all) {
        if (const auto* found = std::get_if<Effect>(&e)) {
            return found;
        }
    }
    return nullptr;
}

inline base::attempt_id opened(const effects& all) {
    const auto* open = find<open_attempt>(all);
    REQUIRE(open != nullptr);
    return open->open.attempt;
}

inline request::response_info answered(unsigned status) {
    request::response_info f;
    f.status = status;
    f.id_matches = true;
    return f;
}

inline request::response_info shed() {
    auto f = answered(503);
    f.shed = true;
    return f;
}

} // namespace pollenreel::dispatch::testing
