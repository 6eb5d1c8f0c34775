#include "pollenreel/lookup/table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace pollenreel::lookup {

namespace {

namespace json = boost::json;

// Lower is nearer: same failure domain, same region, elsewhere.
int distance(const routing::snapshot& s, const routing::instance& i,
             const base::failure_domain_id& from) {
    if (i.failure_domain == from) {
        return 0;
    }
    const auto here = s.region_of.find(from);
    const auto there = s.region_of.find(i.failure_domain);
    const bool known = here != s.region_of.end() && there != s.region_of.end();
    return known && here->second == there->second ? 1 : 2;
}

// Spreads the callers of different services over equally near instances, the
// same on every instance that answers (rendezvous hashing; Thaler and
// Ravishankar, 1996).
std::uint64_t spread(const base::service_id& service,
                     const routing::instance& i) {
    const auto text = service.str() + "/" + i.id.str();
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::string answer(const routing::snapshot& s, const base::service_id& service,
                   const base::failure_domain_id& from) {
    auto ordered = s.instances;
    std::sort(ordered.begin(), ordered.end(),
              [&](const auto& a, const auto& b) {
                  return std::tuple(distance(s, a, from), spread(service, a)) <
                         std::tuple(distance(s, b, from), spread(service, b));
              });
    ordered.resize(std::min(ordered.size(), most_instances));
    json::array instances;
    for (const auto& i : ordered) {
        instances.emplace_back(
            json::object{{"id", i.id.str()}, {"address", i.address.str()}});
    }
    return json::serialize(
        json::object{{"service", service.str()},
                     {"failure_domain", from.str()},
                     {"time_to_live_ms", answer_time_to_live.count()},
                     {"version", s.version.value()},
                     {"instances", instances}});
}

table::table(routing::snapshot_ptr snapshot) : m_snapshot(std::move(snapshot)) {
    for (const auto& [id, ignored] : m_snapshot->services) {
        for (const auto& [domain, region] : m_snapshot->region_of) {
            m_answers.emplace(key{id, domain}, answer(*m_snapshot, id, domain));
        }
    }
}

const std::string* table::find(const base::service_id& service,
                               caller_address from) const {
    return find(service, domain_of(from));
}

const std::string* table::find(const base::service_id& service,
                               const base::failure_domain_id& from) const {
    const auto found = m_answers.find(key{service, from});
    return found == m_answers.end() ? nullptr : &found->second;
}

const base::failure_domain_id& table::domain_of(caller_address from) const {
    const auto& ranges = m_snapshot->client_ranges;
    auto after = std::upper_bound(
        ranges.begin(), ranges.end(), from.value,
        [](std::uint32_t a, const auto& r) { return a < r.first; });
    if (after != ranges.begin() && from.value <= std::prev(after)->last) {
        return std::prev(after)->failure_domain;
    }
    return m_snapshot->failure_domain;
}

} // namespace pollenreel::lookup
