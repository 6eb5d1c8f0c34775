// Keeps the ledger of quotas of an instance that may become its region's hub:
// passes on what views say about tenants and regions. On the control thread.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/entry/exchange_driver.hpp"
#include "pollenreel/entry/settings.hpp"
#include "pollenreel/fleet/view.hpp"
#include "pollenreel/log/logger.hpp"
#include "pollenreel/quota/ledger.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::entry {

class quota_ledger {
public:
    // The references must outlive it; the limits of the settings may change.
    quota_ledger(const settings& s, const base::clock& clock,
                 const log::logger& log)
        : m_settings(s), m_clock(clock), m_log(log) {}

    void on_view(const fleet::view& v);
    // They refer to this object.
    [[nodiscard]] ledger_hooks hooks();

private:
    // A tenant with a limit, as logged last.
    struct tenant_state {
        std::string name;
        quota::tenant_limit limit;
        bool is_limited = false;     // by this hub, as logged last
        base::time_point noted_at{}; // when that was logged
    };

    // Logs which limits differ from those known before.
    void update_tenants(const std::vector<routes::tenant>& tenants);
    // Logs which tenants begin to be limited, or no longer are.
    void note_limited(const quota::usage_news& news, base::time_point now);

    const settings& m_settings;
    const base::clock& m_clock;
    const log::logger& m_log;
    std::map<quota::tenant_hash, tenant_state> m_tenants;
    // Set once tenants have had quotas. Kept while they have none, as the
    // sums of a run must not fall.
    std::optional<quota::ledger> m_ledger;
    bool m_is_on = false;             // tenants have quotas
    routes::route_table_ptr m_routes; // whose tenants the ledger knows
};

} // namespace pollenreel::entry
