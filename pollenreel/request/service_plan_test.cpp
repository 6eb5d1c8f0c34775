#include "pollenreel/request/service_plan.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

namespace {

using namespace pollenreel;

const base::region_id region("cairo");
const base::failure_domain_id domain("cairo-a");

routing::snapshot make_fleet(std::size_t instances) {
    routing::snapshot s;
    s.region = region;
    s.region_of[domain] = region;
    for (std::size_t i = 0; i < instances; ++i) {
        s.instances.push_back(
            {base::instance_id(fmt::format("cairo-a-{}", i)), domain, {}});
    }
    return s;
}

routing::service make_ledger(std::size_t targets, std::uint32_t connections) {
    routing::service service;
    service.max_connections_per_target = connections;
    service.kinds = {{base::kind_id("lookup"), {"GET"}, true, {}, 1},
                     {base::kind_id("archive"), {"PUT"}, true, {}, 9}};
    service.kinds[1].long_running = true;
    for (std::size_t i = 0; i < targets; ++i) {
        routing::target t;
        t.id = base::target_id(fmt::format("ledger-{}", i));
        t.region = region;
        t.slots = 7;
        service.targets.push_back(t);
    }
    return service;
}

std::vector<request::service_plan> make_plans(const routing::service& service,
                                              std::size_t instances) {
    auto s = make_fleet(instances);
    std::vector<request::service_plan> all;
    for (const auto& i : make_fleet(instances).instances) {
        s.self = i.id;
        all.push_back(request::make_service_plan(service, region, s, {}));
    }
    return all;
}

} // namespace

TEST_CASE("instances agree on the long targets and split all their slots") {
    struct row {
        const char* name;
        std::size_t targets;
        std::size_t instances;
        std::uint32_t percent;
        std::size_t long_targets;
    };
    const row rows[] = {
        {"12 targets, half of them for long work", 12, 12, 50, 6},
        {"a percentage that rounds up", 12, 8, 30, 4},
        {"fewer slots than instances", 2, 12, 50, 1},
        {"a single target serves both kinds of work", 1, 3, 50, 0},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        auto service = make_ledger(r.targets, 330);
        service.long_running_percent = r.percent;
        const auto all = make_plans(service, r.instances);
        std::map<base::target_id, std::uint32_t> assigned;
        std::uint32_t min_slots = 1000;
        std::uint32_t max_slots = 0;
        for (const auto& p : all) {
            CHECK(p.long_targets == all[0].long_targets);
            std::uint32_t own = 0;
            for (const auto& [target, slots] : p.own_long_slots) {
                assigned[target] += slots;
                own += slots;
            }
            min_slots = std::min(min_slots, own);
            max_slots = std::max(max_slots, own);
        }
        CHECK(all[0].long_targets.size() == r.long_targets);
        CHECK(max_slots <= min_slots + 1);
        CHECK(assigned.size() == r.long_targets);
        for (const auto& [target, slots] : assigned) {
            CHECK(slots == 7);
        }
    }
}

TEST_CASE("removing a target moves only its own long work") {
    auto service = make_ledger(12, 330);
    service.long_running_percent = 25;
    const auto before = make_plans(service, 1)[0].long_targets;
    for (auto& t : service.targets) {
        t.accepts_new_work = t.id != before[0];
    }
    const auto after = make_plans(service, 1)[0].long_targets;
    for (std::size_t i = 1; i < before.size(); ++i) {
        CHECK(std::find(after.begin(), after.end(), before[i]) != after.end());
    }
}

TEST_CASE("the fleet uses every target within its connection limit") {
    struct row {
        const char* name;
        std::size_t targets;
        std::size_t instances;
        std::uint32_t connections;
        bool all_targets_each;
    };
    const row rows[] = {
        {"24 targets, 12 instances", 24, 12, 400, true},
        {"12 targets, 12 instances", 12, 12, 330, true},
        {"24 targets, 1300 instances", 24, 1300, 400, false},
        {"subsets of uneven size", 14, 500, 330, false},
    };
    for (const auto& r : rows) {
        CAPTURE(r.name);
        const auto service = make_ledger(r.targets, r.connections);
        std::map<base::target_id, std::uint32_t> opened;
        for (const auto& p : make_plans(service, r.instances)) {
            CHECK(p.subset.empty() == r.all_targets_each);
            for (const auto& t : service.targets) {
                const bool has = p.subset.empty() ||
                                 std::find(p.subset.begin(), p.subset.end(),
                                           t.id) != p.subset.end();
                opened[t.id] += has ? p.connections_per_target : 0;
            }
        }
        for (const auto& t : service.targets) {
            CHECK(opened[t.id] > 0);
            CHECK(opened[t.id] <= r.connections);
        }
    }
}
