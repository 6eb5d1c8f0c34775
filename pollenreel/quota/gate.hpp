// Decides at one instance whether a request is within its tenant's quota.
//
// Load pattern: a tenant with a limit of a few requests a second is asked for
// at 80 instances, 0.1 a second at each, and suddenly sends many times that. A
// fixed part for each instance refuses requests below the limit; without a
// limit of its own an instance admits all until its hub has told it otherwise.
//
//   quota::gate g(limits, run);
//   const auto verdict = g.admit(tenant, live_instances, now, random.unit());
//   if (std::holds_alternative<quota::over_quota>(verdict)) refuse();
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/quota/limits.hpp"
#include "pollenreel/quota/messages.hpp"
#include "pollenreel/quota/rates.hpp"
#include "pollenreel/routes/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace pollenreel::quota {

struct admitted {};
struct over_quota {
    std::chrono::milliseconds retry_after{};
};

// Not thread-safe.
class gate {
public:
    // `run` differs between starts of the instance.
    gate(limits l, std::uint64_t run) : m_limits(l), m_run(run) {}

    // Takes the limits of a configuration.
    void on_tenants(const std::vector<routes::tenant>& tenants,
                    base::time_point now);
    // Tenants without a limit are always admitted and not counted. `draw` is
    // uniform in [0, 1).
    [[nodiscard]] std::variant<admitted, over_quota>
    admit(const routes::tenant& t, std::size_t live_instances,
          base::time_point now, double draw);
    // An admitted request ended without having been sent to a target.
    void refund(tenant_hash tenant, base::time_point now);
    // Tenants asked for lately; all that were ever asked for if `whole`.
    [[nodiscard]] usage_report report(const base::instance_id& self, bool whole,
                                      base::time_point now);
    // Before the first call, or request, news set no shares.
    void on_instances(std::size_t live) {
        m_instances = std::max<std::size_t>(1, live);
    }
    void on_news(const usage_news& news, base::time_point now);

    // Whether any tenant has a limit.
    [[nodiscard]] bool has_limits() const { return m_has_limits; }
    // Whether the hub's news are recent enough to rely on.
    [[nodiscard]] bool in_contact(base::time_point now) const {
        return m_contact_until && now < *m_contact_until;
    }
    // The tenant's demand over its limit as a multiple of the mean of the
    // tenants that the instance knows of; 1 if unknown.
    [[nodiscard]] double relative_demand(tenant_hash tenant,
                                         base::time_point now) const;

private:
    struct tenant_state {
        explicit tenant_state(base::time_point now);

        tenant_limit limit;
        tenant_usage usage;
        tenant_usage reported;
        base::time_point asked_at;
        decaying_rate asked; // of this instance
        // As of the last news that named the tenant.
        double admit_fraction = 1;
        double fleet_rate = 0;
        std::chrono::milliseconds retry_after{};
        base::time_point named_at;
        std::optional<double> share; // of the fleet's demand
        credit guard;
        credit floor;
    };

    // All instances may have been restarted together, and the requests before
    // that count in the window. Buckets then fill from empty.
    [[nodiscard]] bool is_new(base::time_point now) const;
    tenant_state& state_of(const routes::tenant& t, base::time_point now);
    [[nodiscard]] bool try_guard(tenant_state& s, double share,
                                 base::time_point now) const;
    [[nodiscard]] bool try_floor(tenant_state& s, double share,
                                 base::time_point now, double draw) const;

    // Whether news named the tenant and its demand lately.
    [[nodiscard]] static bool has_demand(const tenant_state& s,
                                         base::time_point now);
    void update_mean_demand(base::time_point now);

    limits m_limits;
    std::uint64_t m_run;
    boost::unordered_flat_map<tenant_hash, tenant_state> m_tenants;
    std::optional<base::time_point> m_started_at;
    std::optional<base::time_point> m_contact_until;
    bool m_has_limits = false;
    std::size_t m_instances = 0; // 0: unknown yet
    double m_mean_demand = 0;    // over the limit, of tenants with demand
};

} // namespace pollenreel::quota
