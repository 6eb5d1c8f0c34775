// Follows the platform's store: lists the keys once, then follows the
// changes; lists again when the history is no longer kept, and tries again
// after failures. Changes come from a watch of the store or, where another
// instance of the region watches it, from that one: the store's calls then do
// not grow with the fleet. Pure: says what to ask, is told what came.
//
//   follower f(options, decoder, beliefs, observer);
//   run(f.start(now));
//   run(f.on_listed(reply, now));
//   run(f.on_watch(report, now));
//   run(f.on_relayed(answer, now));
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/change_journal.hpp"
#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/fleet/messages.hpp"
#include "pollenreel/fleet/relay_choice.hpp"
#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/fleet/retry_backoff.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::fleet {

struct follower_options {
    std::string prefix; // of all keys of concern
    instance self;
    // A departure has to be known within this, whatever is lost on the way.
    std::chrono::milliseconds departure_bound{};
    // A relay that failed is not asked again for this long; until then the
    // store is watched. Longer than an instance that died stays announced.
    std::chrono::milliseconds relay_retry_delay{4500};
};

class follower {
public:
    struct list {
        std::string prefix;
    };
    // Ends an ask that is under way.
    struct watch {
        store::watch request;
    };
    // Ends a watch that is open.
    struct poll {
        base::endpoint endpoint;
        relay_request request;
        std::chrono::milliseconds timeout{};
    };
    using action = std::variant<list, watch, poll>;
    using actions = std::vector<action>;
    // Told of each change and what it did, for the log.
    using observer = std::function<void(const change&, effect)>;

    follower(follower_options o, decoder d, fleet_state& state,
             observer on_change);

    [[nodiscard]] actions start(base::time_point now);
    // The answer to the last `list`.
    [[nodiscard]] actions on_list_reply(const store::reply& r,
                                        base::time_point now);
    // A report of the last `watch`.
    [[nodiscard]] actions on_watch_report(const store::watch_report& r,
                                          base::time_point now);
    // The answer to the last `ask`; empty: none came.
    [[nodiscard]] actions
    on_relay_response(const std::optional<relay_response>& a,
                      base::time_point now);
    // Another call to the store was answered after calls had failed. A watch
    // that was asked for meanwhile may never be answered: it is asked anew.
    [[nodiscard]] actions on_store_regained(base::time_point now);
    // To be called a few times a second.
    [[nodiscard]] actions tick(base::time_point now);
    // Whom the instance relies on, by what it knew last.
    [[nodiscard]] const relay_choice& relay() const { return m_relay; }
    [[nodiscard]] bool is_listing() const { return m_listing; }

    // What another instance that asks is to be told; `store_reached`: the
    // store answered the last call.
    [[nodiscard]] relay_response
    make_relay_response(store::revision known, bool is_store_reachable,
                        base::time_point now) const;

private:
    actions on_report(const store::watch_opened&, base::time_point now);
    actions on_report(const store::watch_changed& r, base::time_point now);
    actions on_report(const store::watch_compacted&, base::time_point now);
    actions on_report(const store::watch_cut&, base::time_point now);
    void apply(const store::key_change& c, base::time_point now);
    void apply(const std::vector<store::key_change>& all, base::time_point now);
    // Tells the journal what a new listing shows to be gone.
    void journal_removed_keys(const store::found_all& listed);
    // Watches the store from what is known.
    actions watch_store();
    actions poll_relay();
    // One of the two.
    actions follow(base::time_point now);
    [[nodiscard]] std::chrono::milliseconds watch_interval() const;

    follower_options m_options;
    decoder m_decoder;
    fleet_state& m_state;
    observer m_observer;
    change_journal m_journal;
    std::set<std::string> m_existing_keys; // that exist
    relay_choice m_relay;
    bool m_listing = false;
    store::revision m_seen_revision{}; // changes up to it are known
    std::optional<base::time_point> m_retry_at;
    retry_backoff m_backoff;
    // Of the watch that is open; empty: none is.
    std::optional<std::chrono::milliseconds> m_open_watch_interval;
    bool m_polling_relay = false; // a relay
    base::time_point m_relay_retry_at{};
};

} // namespace pollenreel::fleet
