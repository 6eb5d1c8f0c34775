// Keeps, at the hub of a region, what all instances ask for and admit of each
// tenant, and derives the fraction that they may admit.
//
// Load pattern: callers of a tenant are spread over all instances of all
// regions and send more than its limit, while hubs fail and regions lose each
// other.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/quota/limits.hpp"
#include "pollenreel/quota/messages.hpp"
#include "pollenreel/quota/rates.hpp"
#include "pollenreel/routes/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pollenreel::quota {

// Not thread-safe.
class ledger {
public:
    // `run` differs between starts of the hub.
    ledger(std::uint64_t run, base::region_id own)
        : m_run(run), m_own(std::move(own)) {}

    void on_tenants(const std::vector<routes::tenant>& tenants,
                    base::time_point now);
    void on_report(const usage_report& r, base::time_point now);
    void on_peer_sums(const region_sums& s, base::time_point now);
    // Regions with live instances. One that is not among them has no part of
    // any quota.
    void on_regions(const std::vector<base::region_id>& live);
    // Names the tenants of the report and all that are limited; not complete
    // until the hub has measured for long enough.
    [[nodiscard]] usage_news news_for(const usage_report& r,
                                      base::time_point now);
    [[nodiscard]] region_sums sums() const;

private:
    // Counts of an instance, or of another region.
    struct source {
        std::uint64_t run = 0;
        base::time_point since; // of the first message of the run
        base::time_point heard_at;
        // All its tenants have been named, so that the first count of another
        // one starts at 0.
        bool is_whole = false;
        boost::unordered_flat_map<tenant_hash, tenant_usage> counts;
    };
    // Requests a second that instances of one region are asked for.
    struct demand {
        explicit demand(base::time_point now);

        decaying_rate recent;
        decaying_rate average;
    };
    struct tenant_state {
        explicit tenant_state(base::time_point now);

        tenant_limit limit;
        std::map<base::region_id, demand> demands;
        // Parts of the quota, of when all regions were last heard together.
        std::map<base::region_id, double> shares;
        credit bucket;
        // Mean of the fractions that instances were told lately.
        double told_fraction = 1;
        base::time_point told_at;
    };

    // Adds what the counts exceed those known of the source by.
    void count(source& from, const tenant_usage& u, bool known,
               const base::region_id& region, base::time_point now);
    // Measures anew after a time without reports. The counts of instances are
    // kept, as their next reports may not name all tenants.
    void restart(base::time_point now);
    [[nodiscard]] bool is_warm(base::time_point now) const;
    [[nodiscard]] bool is_heard(const base::region_id& region,
                                base::time_point now) const;
    void update_shares(base::time_point now);
    // What regions that are heard may use of the tenant's rate.
    [[nodiscard]] double rate_of(const tenant_state& s,
                                 base::time_point now) const;
    void refill(tenant_state& s, base::time_point now);
    // Requests a second asked of the regions that are heard.
    [[nodiscard]] double demand_of(const tenant_state& s,
                                   base::time_point now) const;
    [[nodiscard]] tenant_news news_of(tenant_hash hash, tenant_state& s,
                                      base::time_point now);

    std::uint64_t m_run;
    base::region_id m_own;
    // Without an interruption up to the last one.
    std::optional<base::time_point> m_first_report;
    base::time_point m_last_report;
    boost::unordered_flat_map<tenant_hash, tenant_state> m_tenants;
    // Of the own region since the start of the hub. Kept when a tenant's limit
    // goes, as the counts of a run must not fall.
    boost::unordered_flat_map<tenant_hash, tenant_usage> m_sums;
    std::map<base::instance_id, source> m_instances;
    std::map<base::region_id, source> m_peers;
    std::set<base::region_id> m_others; // regions
};

} // namespace pollenreel::quota
