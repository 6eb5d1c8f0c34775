// The state of the fleet as this instance knows it from the platform's store.
// Keeps its contents while the store is unreachable: targets and instances
// whose entries expired in an outage are kept until they had time to be written
// again.
//
//   fleet_state state(regions, {});
//   state.apply(change, now);
//   auto view = state.build_view();
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/messages.hpp"
#include "pollenreel/fleet/view.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::fleet {

struct fleet_state_options {
    // Entries that expired in an outage are written again within this time
    // after the store's return, as its operators guarantee. Counted from the
    // first reply, which comes later than the return.
    std::chrono::milliseconds restore_time{2000};
    // A contact gap shorter than this expires no entries: they end after three
    // heartbeat intervals without a report, of which one may have passed before
    // the gap, and a quarter is left for late reports.
    std::chrono::milliseconds outage_threshold{2625};
    // The same for instances, whose leases have 60% of their time to live left
    // at least, less a tenth for late renewals.
    std::chrono::milliseconds instance_outage_threshold{1500};
    // No call goes unanswered for so long without being reported as failed,
    // unless the process was suspended: the store may have been out of contact.
    std::chrono::milliseconds unnoticed_outage{5000};
    // After an evacuation a target's latest report may predate its going cold:
    // two heartbeat intervals of 1.5 s.
    std::chrono::milliseconds report_lag{3000};
};

// Result of `apply`, for the log.
enum class effect {
    none,      // no change
    refreshed, // a target repeated its report unchanged
    changed,
    stale,    // configuration older than the current one
    deferred, // removal delayed, as the outage may have caused it
};

// For how much longer entries may be missing that an outage ended.
struct restore_times {
    std::chrono::milliseconds targets{0};
    std::chrono::milliseconds instances{0};
};

// Performs no I/O. Not thread-safe.
class fleet_state {
public:
    fleet_state(region_map regions, fleet_state_options options)
        : m_regions(std::move(regions)), m_options(options) {}

    effect apply(const change& c, base::time_point now);

    // Bracket a full listing: the caller applies every existing key between
    // the two calls. `end_listing` removes what was known and not listed and
    // returns these removals with their effects.
    void begin_listing();
    std::vector<std::pair<change, effect>> end_listing(base::time_point now);

    // The store confirmed what is known, as of `now`.
    void on_contact(base::time_point now);
    // The store replied to any call.
    void on_reply(base::time_point now);
    // A call failed, or its reply is overdue.
    void on_contact_lost();

    // The known configuration was the newest one at `at`.
    void on_configuration_confirmed(base::boot_time at) {
        m_configuration_confirmed_at =
            std::max(m_configuration_confirmed_at, at);
    }
    // Whether a newer configuration exists than the known one.
    void set_configuration_outdated(bool outdated) {
        m_is_configuration_outdated = outdated;
    }
    [[nodiscard]] base::boot_time configuration_confirmed_at() const {
        return m_configuration_confirmed_at;
    }

    [[nodiscard]] base::time_point last_contact_at() const {
        return m_last_contact_at;
    }
    // Whether entries may be missing because of a current or recent outage.
    [[nodiscard]] bool is_restoring(base::time_point now) const;
    // Whether the store has been out of contact for so long that entries may
    // expire.
    [[nodiscard]] bool is_in_outage(base::time_point now) const;
    // After an outage; zero in one, as its end is not known.
    [[nodiscard]] restore_times restoring_for(base::time_point now) const;
    // Another instance noticed an outage.
    void extend_restoring(const restore_times& t, base::time_point now);

    // Removes targets and instances whose deferred removal is due. Returns
    // whether the view changed.
    bool remove_expired(base::time_point now);

    // Whether a full listing has completed and a configuration is known.
    [[nodiscard]] bool is_complete() const;
    [[nodiscard]] view_ptr build_view() const;
    [[nodiscard]] std::size_t target_count() const { return m_targets.size(); }
    [[nodiscard]] std::vector<instance> instances() const;

private:
    struct known_target {
        target_report report;
        base::time_point cold_until{};
        std::optional<base::time_point> remove_at;
        bool listed = false;
    };
    struct known_instance {
        fleet::instance announced;
        std::optional<base::time_point> remove_at;
    };
    // Entries of one kind that an outage may have ended.
    struct expiry {
        std::chrono::milliseconds outage_threshold;
        base::time_point restore_deadline{};
    };

    effect apply_change(const target_written& c, base::time_point now);
    effect apply_change(const target_removed& c, base::time_point now);
    effect apply_change(const configuration_written& c, base::time_point now);
    effect apply_change(const evacuation_begun& c, base::time_point now);
    effect apply_change(const evacuation_ended& c, base::time_point now);
    effect apply_change(const instance_written& c, base::time_point now);
    effect apply_change(const instance_removed& c, base::time_point now);
    effect apply_change(const unrelated& c, base::time_point now);
    effect apply_change(const unreadable& c, base::time_point now);
    effect remove(const base::target_id& id, base::time_point now);
    // When to remove an entry that the store has no longer; nullopt: now.
    [[nodiscard]] std::optional<base::time_point>
    deferred_removal(const expiry& of, base::time_point now) const;
    [[nodiscard]] bool is_restoring(const expiry& of,
                                    base::time_point now) const;
    [[nodiscard]] bool is_in_outage(const expiry& of,
                                    base::time_point now) const;
    [[nodiscard]] base::region_id
    region_of(const base::failure_domain_id& d) const;
    [[nodiscard]] target build_target(const known_target& t) const;

    region_map m_regions;
    fleet_state_options m_options;
    routes::route_table_ptr m_routes;
    std::map<base::target_id, known_target> m_targets;
    std::map<base::instance_id, known_instance> m_instances;
    std::set<base::failure_domain_id> m_evacuated;
    // Recently evacuated domains. Until the given time, reports of their
    // targets may understate how long the targets stay cold.
    std::map<base::failure_domain_id, base::time_point> m_cold_unknown_until;
    std::set<base::instance_id> m_listed_instances;
    std::set<base::failure_domain_id> m_listed_evacuations;
    bool m_listing = false;
    std::optional<base::time_point> m_first_listed_at;
    // Set once the store was in contact after instances that expired before the
    // first listing had time to be announced again.
    bool m_instances_known = false;
    std::optional<base::time_point> m_contact_lost_at;
    base::time_point m_last_contact_at{};
    base::time_point m_last_reply_at{};
    base::boot_time m_configuration_confirmed_at{};
    bool m_is_configuration_outdated = false;
    expiry m_target_expiry{m_options.outage_threshold};
    expiry m_instance_expiry{m_options.instance_outage_threshold};
};

} // namespace pollenreel::fleet
