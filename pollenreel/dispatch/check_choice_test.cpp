// How a connection is checked that is opened for an attempt.
#include "pollenreel/dispatch/core_test_support.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pollenreel;
using namespace pollenreel::dispatch;
using namespace pollenreel::dispatch::testing;
using namespace std::chrono_literals;

namespace {

// One target, in the region of the instance or in another one, with four
// instances beside it.
class check_driver {
public:
    explicit check_driver(bool distant, int instances = 5,
                          double cold_rate = 1000)
        : m_distant(distant), m_instances(instances), m_cold_rate(cold_rate),
          m_core(driver::make_options()) {
        show_view();
    }

    void show_view(base::duration age = 0s, bool cold = false,
                   bool instances_known = true) {
        auto v = std::make_shared<fleet::view>();
        routes::configuration c;
        c.version = base::config_version(1);
        routes::route r;
        r.id = "r";
        r.host = "shop.example";
        r.path_prefix = "/";
        r.idempotent = true;
        r.timeout = 1200ms;
        r.target_latency = 400ms;
        r.max_attempts = 2;
        r.services = {{base::service_id("s"), 1}};
        c.routes.push_back(r);
        // With a rate of 1,000 the unchecked part of a second is above one.
        c.services.push_back(
            {base::service_id("s"), 100, 3s, m_cold_rate, "/health"});
        v->routes = std::make_shared<routes::route_table>(std::move(c));
        fleet::target t;
        t.id = base::target_id("t-0");
        t.service = base::service_id("s");
        t.region = base::region_id(m_distant ? "erongo" : "khomas");
        t.address = {"10.0.0.1", 80};
        t.slots = 4;
        t.incarnation = 1;
        t.cold_until = cold ? now + 3s : base::time_point();
        v->targets.push_back(t);
        for (int n = 1; n <= m_instances; ++n) {
            fleet::instance one;
            one.id = base::instance_id("i-" + std::to_string(n));
            one.region = base::region_id(n == 1 ? "khomas" : "erongo");
            one.relay_endpoint =
                base::endpoint{"10.0.1.1", static_cast<std::uint16_t>(n)};
            v->instances.push_back(one);
        }
        v->instances_known = instances_known;
        v->confirmed_at = now - age;
        (void)m_core.handle(view_changed{v}, now);
    }

    effects arrive() {
        m_last = m_last.next();
        return m_core.handle(arrival{m_last, "shop.example", "/x", "", 1000ms},
                             now);
    }
    request::open_attempt open() {
        const auto out = arrive();
        const auto* opened = find<open_attempt>(out);
        REQUIRE(opened != nullptr);
        return opened->open;
    }
    effects handle(const event& e) { return m_core.handle(e, now); }
    [[nodiscard]] const core& tested_core() const { return m_core; }

    base::time_point now{std::chrono::hours(1)};

private:
    bool m_distant;
    int m_instances;
    double m_cold_rate;
    core m_core;
    base::request_id m_last;
};

enum class check { none, own, by_peers };

check kind_of(const request::open_attempt& o) {
    if (o.check_path.empty()) {
        return check::none;
    }
    return o.check_peers.empty() ? check::own : check::by_peers;
}

} // namespace

// Guards against unchecked connections to a target that may have restarted.
TEST_CASE("connections are used unchecked only without a doubt") {
    struct row {
        const char* name;
        bool distant;
        void (*before)(check_driver&);
        check expected;
    };
    const row rows[] = {
        {"a near target", false, [](check_driver&) {}, check::own},
        {"a distant target", true, [](check_driver&) {}, check::none},
        {"the view is old", true, [](check_driver& d) { d.show_view(2501ms); },
         check::by_peers},
        {"the target is cold", true,
         [](check_driver& d) { d.show_view(0s, true); }, check::by_peers},
        {"the instances are unknown", true,
         [](check_driver& d) { d.show_view(0s, false, false); },
         check::by_peers},
        {"it did not accept a connection", true,
         [](check_driver& d) {
             d.handle(request::attempt_connect_failed{d.open().attempt});
         },
         check::by_peers},
        {"a connection was used unchecked just before", true,
         [](check_driver& d) {
             d.handle(request::attempt_connected{d.open().attempt, {}, true});
         },
         check::by_peers},
        {"an open connection was used just before", true,
         [](check_driver& d) {
             d.handle(request::attempt_connected{d.open().attempt});
         },
         check::none},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        check_driver d(r.distant);
        r.before(d);
        CHECK((kind_of(d.open()) == r.expected));
    }
}

// Guards against a target that many objects prefer, to which each instance
// opens one unchecked connection after the other.
TEST_CASE("a target gets no second unchecked connection within the interval") {
    struct row {
        const char* name;
        base::duration later;
        bool may_be_unchecked;
    };
    // Twice a sixteenth of 1,505 requests a second, of five instances: 26.6 ms.
    const row rows[] = {
        {"within the interval", 26ms, false},
        {"after it", 27ms, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        check_driver d(true);
        d.handle(request::attempt_connected{d.open().attempt, {}, true});
        d.now += r.later;
        int unchecked = 0;
        for (int n = 0; n < 100; ++n) {
            const auto o = d.open();
            unchecked += kind_of(o) == check::none ? 1 : 0;
            d.handle(request::attempt_connected{o.attempt});
            d.handle(request::attempt_answered{o.attempt, answered(200)});
        }
        CHECK((unchecked > 0) == r.may_be_unchecked);
    }
}

// A busy target that refused the check of a new connection was taken for cold
// for the whole cold time, also by requests on connections that were open.
TEST_CASE("a refused check decides about its connection alone") {
    struct row {
        const char* name;
        request::target_check check;
        bool sent;  // the request of the connection
        bool later; // one after it, which may use an open connection
    };
    const row rows[] = {
        {"warm", {true, 0ms, false}, true, true},
        {"cold", {true, 3s, false}, false, false},
        {"refused", {false, 0ms, false}, false, true},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        check_driver d(false, 295, 7.6); // without a part of the cold rate
        const auto first = d.open().attempt;
        const auto out =
            d.handle(request::attempt_connected{first, r.check, true});
        CHECK((find<request::send_attempt>(out) != nullptr) == r.sent);
        CHECK((find<open_attempt>(d.arrive()) != nullptr) == r.later);
    }
}

TEST_CASE("targets are checked for peers only where they are known") {
    struct row {
        const char* name;
        request::chosen_target target;
        std::optional<std::string> path;
    };
    const row rows[] = {
        {"known", {base::target_id("t-0"), {"10.0.0.1", 80}}, "/health"},
        {"another address", {base::target_id("t-0"), {"10.0.0.2", 80}}, {}},
        {"another target", {base::target_id("t-1"), {"10.0.0.1", 80}}, {}},
        {"none", {}, {}},
    };
    const check_driver d(false);
    for (const auto& r : rows) {
        CAPTURE(r.name);
        CHECK(d.tested_core().check_path_for(r.target) == r.path);
    }
}
