#include "pollenreel/declarations/codec.hpp"

#include "pollenreel/declarations/error.hpp"
#include "pollenreel/declarations/internal/json_reader.hpp"

#include <boost/asio/ip/network_v4.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <set>

namespace pollenreel::declarations {

namespace {

namespace json = boost::json;
using internal::json_reader;

constexpr std::uint64_t most_instances = 10'000;
constexpr std::uint64_t most_megabits = 10'000'000;
constexpr std::uint64_t most_slots = 100'000;
constexpr std::uint64_t most_connections = 1'000'000;
constexpr std::uint64_t longest_deadline_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t lowest_priority = 9;
constexpr std::uint64_t most_good_per_million = 999'999;
constexpr std::uint64_t most_waiting = 100'000;
constexpr std::uint64_t longest_slow_start_ms = 600'000;

// Names seen so far; tells when one is declared twice or never was.
template <class Id>
class name_set {
public:
    Id declare(const json_reader& r) {
        Id id(r.text());
        if (!m_seen.insert(id).second) {
            r.fail(error::duplicate, "'" + id.str() + "'");
        }
        return id;
    }
    [[nodiscard]] Id refer(const json_reader& r) const {
        Id id(r.text());
        if (!m_seen.contains(id)) {
            r.fail(error::unknown_reference, "'" + id.str() + "'");
        }
        return id;
    }

private:
    std::set<Id> m_seen;
};

struct declared_names {
    name_set<base::region_id> regions;
    name_set<base::failure_domain_id> domains;
    name_set<base::service_id> services;
    name_set<base::target_id> targets;
};

region read_region(const json_reader& r, declared_names& names) {
    r.allow_keys({"id", "failure_domains"});
    region read{names.regions.declare(r.at("id")), {}};
    r.at("failure_domains").each([&](const json_reader& d) {
        read.failure_domains.push_back(names.domains.declare(d));
    });
    return read;
}

link read_link(const json_reader& r, const declared_names& names) {
    r.allow_keys({"first", "second", "megabits_per_second"});
    link read{names.regions.refer(r.at("first")),
              names.regions.refer(r.at("second")),
              r.at("megabits_per_second").number(1, most_megabits)};
    if (read.first == read.second) {
        r.fail(error::out_of_range, "a link joins two different regions");
    }
    return read;
}

client_block read_block(const json_reader& r, const declared_names& names) {
    r.allow_keys({"block", "failure_domain"});
    client_block read{r.at("block").text(),
                      names.domains.refer(r.at("failure_domain"))};
    boost::system::error_code bad;
    boost::asio::ip::make_network_v4(read.block, bad);
    if (bad) {
        r.at("block").fail(error::out_of_range, "expected IPv4 in CIDR form");
    }
    return read;
}

objective read_objective(const json_reader& r) {
    r.allow_keys({"good_per_million", "latency_ms"});
    objective read;
    if (r.has("good_per_million")) {
        read.good_per_million = static_cast<std::uint32_t>(
            r.at("good_per_million").number(1, most_good_per_million));
    }
    if (r.has("latency_ms")) {
        read.latency = std::chrono::milliseconds(
            r.at("latency_ms").number(1, longest_deadline_ms));
    }
    return read;
}

planned_load read_planned_load(const json_reader& r,
                               const declared_names& names,
                               name_set<base::region_id>& planned) {
    r.allow_keys({"region", "busy_slots"});
    (void)names.regions.refer(r.at("region"));
    return {
        planned.declare(r.at("region")),
        static_cast<std::uint32_t>(r.at("busy_slots").number(0, most_slots))};
}

// Reads an optional number; absent, `into` keeps its default.
void read_number(const json_reader& r, std::string_view key,
                 std::uint64_t least, std::uint64_t most, std::uint32_t& into) {
    if (r.has(key)) {
        into = static_cast<std::uint32_t>(r.at(key).number(least, most));
    }
}

kind read_kind(const json_reader& r, name_set<base::kind_id>& kinds) {
    r.allow_keys({"id", "methods", "idempotent", "deadline_ms", "priority",
                  "long_running", "hedge_percentile", "hedge_budget_percent",
                  "retry_budget_percent", "objective"});
    kind read;
    read.id = kinds.declare(r.at("id"));
    r.at("methods").each(
        [&](const json_reader& m) { read.methods.push_back(m.text()); });
    read.idempotent = r.at("idempotent").boolean();
    read.deadline = std::chrono::milliseconds(
        r.at("deadline_ms").number(1, longest_deadline_ms));
    read.priority =
        static_cast<std::uint32_t>(r.at("priority").number(0, lowest_priority));
    if (r.has("objective")) {
        read.objective = read_objective(r.at("objective"));
    }
    if (r.has("long_running")) {
        read.long_running = r.at("long_running").boolean();
    }
    read_number(r, "hedge_percentile", 0, 99, read.hedge_percentile);
    read_number(r, "hedge_budget_percent", 0, 100, read.hedge_budget_percent);
    read_number(r, "retry_budget_percent", 0, 100, read.retry_budget_percent);
    return read;
}

target read_target(const json_reader& r, declared_names& names) {
    r.allow_keys({"id", "failure_domain", "address", "slots"});
    target read;
    read.id = names.targets.declare(r.at("id"));
    read.failure_domain = names.domains.refer(r.at("failure_domain"));
    auto address = base::parse_endpoint(r.at("address").text());
    if (!address) {
        r.at("address").fail(error::out_of_range, address.error().detail);
    }
    read.address = address.value();
    read.slots =
        static_cast<std::uint32_t>(r.at("slots").number(1, most_slots));
    return read;
}

service read_service(const json_reader& r, declared_names& names) {
    r.allow_keys({"id", "max_connections_per_target", "kinds", "targets",
                  "long_running_percent", "queue_limit", "in_flight_percent",
                  "slow_start_ms", "planned_load"});
    service read;
    read.id = names.services.declare(r.at("id"));
    read.max_connections_per_target = static_cast<std::uint32_t>(
        r.at("max_connections_per_target").number(1, most_connections));
    name_set<base::kind_id> kinds;
    r.at("kinds").each([&](const json_reader& k) {
        read.kinds.push_back(read_kind(k, kinds));
    });
    if (read.kinds.empty()) {
        r.at("kinds").fail(error::out_of_range, "expected at least one kind");
    }
    r.at("targets").each([&](const json_reader& t) {
        read.targets.push_back(read_target(t, names));
    });
    if (r.has("planned_load")) {
        name_set<base::region_id> planned;
        r.at("planned_load").each([&](const json_reader& p) {
            read.planned_load.push_back(read_planned_load(p, names, planned));
        });
    }
    read_number(r, "long_running_percent", 1, 100, read.long_running_percent);
    read_number(r, "queue_limit", 0, most_waiting, read.queue_limit);
    read_number(r, "in_flight_percent", 100, 10'000, read.in_flight_percent);
    if (r.has("slow_start_ms")) {
        read.slow_start = std::chrono::milliseconds(
            r.at("slow_start_ms").number(0, longest_slow_start_ms));
    }
    return read;
}

document read_document(const json_reader& r) {
    r.allow_keys(
        {"fleet_instances", "regions", "links", "client_blocks", "services"});
    document read;
    declared_names names;
    read.fleet_instances = static_cast<std::uint32_t>(
        r.at("fleet_instances").number(1, most_instances));
    r.at("regions").each([&](const json_reader& x) {
        read.regions.push_back(read_region(x, names));
    });
    r.at("links").each([&](const json_reader& x) {
        read.links.push_back(read_link(x, names));
    });
    r.at("client_blocks").each([&](const json_reader& x) {
        read.client_blocks.push_back(read_block(x, names));
    });
    r.at("services").each([&](const json_reader& x) {
        read.services.push_back(read_service(x, names));
    });
    return read;
}

json::array names_of(const std::vector<base::failure_domain_id>& ids) {
    json::array a;
    for (const auto& id : ids) {
        a.emplace_back(id.str());
    }
    return a;
}

json::object to_json(const objective& o) {
    json::object json{{"good_per_million", o.good_per_million}};
    if (o.latency.count() > 0) {
        json["latency_ms"] = o.latency.count();
    }
    return json;
}

// Optional keys are written only where they differ from their defaults, so
// that instances of an earlier release can read the rest.
json::object to_json(const kind& k) {
    json::array methods;
    for (const auto& m : k.methods) {
        methods.emplace_back(m);
    }
    json::object json{{"id", k.id.str()},
                      {"methods", methods},
                      {"idempotent", k.idempotent},
                      {"deadline_ms", k.deadline.count()},
                      {"priority", k.priority},
                      {"long_running", k.long_running},
                      {"hedge_percentile", k.hedge_percentile},
                      {"hedge_budget_percent", k.hedge_budget_percent},
                      {"retry_budget_percent", k.retry_budget_percent}};
    if (k.objective != objective{}) {
        json["objective"] = to_json(k.objective);
    }
    return json;
}

json::object to_json(const target& t) {
    return {{"id", t.id.str()},
            {"failure_domain", t.failure_domain.str()},
            {"address", t.address.str()},
            {"slots", t.slots}};
}

json::object to_json(const service& s) {
    json::array kinds;
    for (const auto& k : s.kinds) {
        kinds.emplace_back(to_json(k));
    }
    json::array targets;
    for (const auto& t : s.targets) {
        targets.emplace_back(to_json(t));
    }
    json::object json{
        {"id", s.id.str()},
        {"max_connections_per_target", s.max_connections_per_target},
        {"kinds", kinds},
        {"targets", targets},
        {"long_running_percent", s.long_running_percent},
        {"queue_limit", s.queue_limit},
        {"in_flight_percent", s.in_flight_percent},
        {"slow_start_ms", s.slow_start.count()}};
    if (!s.planned_load.empty()) {
        json::array planned;
        for (const auto& p : s.planned_load) {
            planned.emplace_back(json::object{{"region", p.region.str()},
                                              {"busy_slots", p.busy_slots}});
        }
        json["planned_load"] = std::move(planned);
    }
    return json;
}

} // namespace

base::result<document> parse_document(const json::value& value) {
    try {
        return read_document(json_reader(value, ""));
    } catch (const internal::read_failure& f) {
        return f.cause();
    }
}

base::result<document> parse_document(std::string_view text) {
    boost::system::error_code bad;
    const auto value = json::parse(text, bad);
    if (bad) {
        return base::failure{make_error_code(error::not_json), bad.message()};
    }
    return parse_document(value);
}

json::value to_json(const document& d) {
    json::array regions;
    for (const auto& r : d.regions) {
        regions.emplace_back(
            json::object{{"id", r.id.str()},
                         {"failure_domains", names_of(r.failure_domains)}});
    }
    json::array links;
    for (const auto& l : d.links) {
        links.emplace_back(
            json::object{{"first", l.first.str()},
                         {"second", l.second.str()},
                         {"megabits_per_second", l.megabits_per_second}});
    }
    json::array blocks;
    for (const auto& b : d.client_blocks) {
        blocks.emplace_back(json::object{
            {"block", b.block}, {"failure_domain", b.failure_domain.str()}});
    }
    json::array services;
    for (const auto& s : d.services) {
        services.emplace_back(to_json(s));
    }
    return json::object{{"fleet_instances", d.fleet_instances},
                        {"regions", regions},
                        {"links", links},
                        {"client_blocks", blocks},
                        {"services", services}};
}

} // namespace pollenreel::declarations
