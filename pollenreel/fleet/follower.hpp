// Keeps a fleet_state in sync with the platform's store: lists the keys once,
// then follows the changes; lists again when the store has compacted the
// history, and retries after failures. Changes come from a watch of the store
// or, where another instance of the region watches it, from that instance (the
// relay), so that calls to the store do not grow with the fleet. Performs no
// I/O: returns actions for the owner to carry out and receives their results.
//
//   follower f(options, decoder, state, observer);
//   run(f.start(now));
//   run(f.on_list_reply(reply, now));
//   run(f.on_watch_report(report, now));
//   run(f.on_relay_response(response, now));
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/change_journal.hpp"
#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/fleet/large_values.hpp"
#include "pollenreel/fleet/messages.hpp"
#include "pollenreel/fleet/relay_choice.hpp"
#include "pollenreel/fleet/relay_messages.hpp"
#include "pollenreel/fleet/retry_backoff.hpp"
#include "pollenreel/fleet/send_budget.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenreel::fleet {

struct follower_options {
    std::string prefix; // of the keys to follow
    instance self;
    // A target's departure must be known within this time, even if messages
    // are lost.
    std::chrono::milliseconds departure_bound{};
    // A relay that failed is not polled again for this long. Longer than a
    // crashed instance stays announced.
    std::chrono::milliseconds relay_retry_delay{4500};
    // Tells other instances as of when the configuration is confirmed, and
    // polls them as soon as a watch ends.
    bool confirms_configuration = false;
};

// How the follower currently receives changes.
enum class change_source { listing, store_watch, relay };
[[nodiscard]] std::string_view to_string(change_source s);

class follower {
public:
    struct list {
        std::string prefix;
    };
    // Supersedes a pending `poll`.
    struct watch {
        store::watch request;
    };
    // A long poll of the relay. Supersedes an open `watch`.
    struct poll {
        base::endpoint endpoint;
        relay_request request;
        std::chrono::milliseconds timeout{};
    };
    // Reads one key from the store, or fetches its last change from a relay.
    // Several may be pending, beside any other action.
    struct read {
        std::string key;
    };
    // `timeout`: without any bytes.
    struct fetch {
        base::endpoint endpoint;
        value_request request;
        std::chrono::milliseconds timeout{};
    };
    using action = std::variant<list, watch, poll, read, fetch>;
    using actions = std::vector<action>;
    // Called for each change with its effect and revision, for the log. What a
    // listing does not contain has the revision of the listing.
    using observer =
        std::function<void(const change&, effect, store::revision)>;

    follower(follower_options o, decoder d, fleet_state& state,
             observer on_change);

    [[nodiscard]] actions start(base::time_point now);
    // The reply to the last `list`.
    [[nodiscard]] actions on_list_reply(const store::reply& r,
                                        base::time_point now);
    // A report of the last `watch`.
    [[nodiscard]] actions on_watch_report(const store::watch_report& r,
                                          base::time_point now);
    // The response to the last `poll`; nullopt if none came.
    [[nodiscard]] actions
    on_relay_response(const std::optional<relay_response>& a,
                      base::time_point now);
    // The response to a `fetch`; nullopt if none of use came.
    [[nodiscard]] actions
    on_fetch_response(const std::string& key,
                      const std::optional<relayed_value>& v,
                      base::time_point now);
    // The reply to a `read`.
    [[nodiscard]] actions on_read_reply(const std::string& key,
                                        const store::reply& r,
                                        base::time_point now);
    // A response of the open watch is arriving.
    void on_watch_progress(base::time_point now);
    // Another call to the store succeeded after calls had failed. Restarts the
    // watch, as one that was requested during the outage may get no response.
    [[nodiscard]] actions on_store_regained(base::time_point now);
    // Must be called a few times a second.
    [[nodiscard]] actions tick(base::time_point now);
    // The current choice of relay.
    [[nodiscard]] const relay_choice& relay() const { return m_relay; }
    [[nodiscard]] bool is_listing() const { return m_listing; }
    [[nodiscard]] change_source source() const;
    // How old the state may grow before the chosen relay is given up.
    [[nodiscard]] std::chrono::milliseconds max_contact_age() const;

    // Settings may be reloaded.
    void set_confirms_configuration(bool confirms) {
        m_options.confirms_configuration = confirms;
    }

    // Whether the store rejects the watches of this instance.
    [[nodiscard]] bool is_rejected() const { return m_is_rejected; }

    // Builds the response to another instance's poll. `is_store_reachable`:
    // whether the last call to the store succeeded.
    // Large values become deltas or references where these are accepted.
    [[nodiscard]] relay_response make_relay_response(const relay_request& r,
                                                     bool is_store_reachable,
                                                     base::time_point now);
    // The last change of a key, unless that would take too much of the link.
    [[nodiscard]] std::optional<relayed_value>
    make_fetch_response(const value_request& r, base::time_point now);

private:
    actions on_report(const store::watch_opened&, base::time_point now);
    actions on_report(const store::watch_changed& r, base::time_point now);
    actions on_report(const store::watch_compacted&, base::time_point now);
    actions on_report(const store::watch_closed&, base::time_point now);
    // `received`: what the change was made from, if it came as a delta.
    void apply(const store::key_change& c, base::time_point now,
               const value_delta* received = nullptr);
    void apply(const std::vector<store::key_change>& all, base::time_point now);
    // Without large values, which m_values has.
    void add_to_journal(const store::key_change& c);
    // Those that cannot be applied become unread.
    void apply(const std::vector<value_delta>& all, base::time_point now);
    // Adds a change to a response, in the form that the receiver accepts.
    void add_change(relay_response& to, const relay_request& r,
                    store::key_change c);
    [[nodiscard]] std::optional<store::key_change>
    to_change(const std::optional<relayed_value>& v) const;
    // Adds a removal to the journal for each key missing from a new listing.
    void journal_removed_keys(const store::found_all& listed);
    // Watches the store from the revision after the last known one.
    actions watch_store(base::time_point now);
    // Of the open watch.
    [[nodiscard]] std::optional<base::time_point>
    next_report_due(base::time_point now) const;
    // The poll of the chosen relay, unless too little time is left for it.
    [[nodiscard]] std::optional<poll> make_poll(base::time_point now) const;
    // A value that was relayed as a reference.
    struct unread_value {
        store::revision at;
        bool is_requested = false;
        base::instance_id from; // the relay that it is requested from
        std::set<base::instance_id> tried;
    };
    void add_unread(const std::string& key, store::revision at);
    // Requests an unread value from the first relay that was not tried, then
    // from the store. Nothing if it is requested already.
    [[nodiscard]] actions request_value(const std::string& key,
                                        base::time_point now);
    [[nodiscard]] actions request_unread(base::time_point now);
    // All changes that were acknowledged by `at` are known, except those of
    // references that have not been read.
    void on_complete(base::boot_time at);
    // Confirms the configuration once nothing is missing.
    void confirm_configuration();
    // Does not poll the chosen relay for a while.
    void avoid_relay(base::time_point now, std::chrono::milliseconds for_time);
    [[nodiscard]] relay_choice choose_relay_now(base::time_point now);
    [[nodiscard]] std::set<base::instance_id>
    avoided_relays(base::time_point now);
    // Polls a relay if there is one to use, else watches the store, unless that
    // is left to others for now.
    actions follow(base::time_point now);
    // The age of the state at which it watches the store although relays
    // answer.
    [[nodiscard]] std::chrono::milliseconds
    watch_age(base::time_point now) const;
    [[nodiscard]] std::chrono::milliseconds
    contact_age(base::time_point now) const;
    [[nodiscard]] std::chrono::milliseconds percent_of_bound(int percent) const;
    [[nodiscard]] std::chrono::milliseconds watch_interval() const;

    follower_options m_options;
    decoder m_decoder;
    fleet_state& m_state;
    observer m_observer;
    change_journal m_journal;
    std::map<std::string, store::revision> m_existing_keys; // last changes
    relay_choice m_relay;
    bool m_listing = false;
    store::revision m_seen_revision{}; // all changes up to it are known
    // False from the loss of a watch until the changes since then are known.
    bool m_is_current = false;
    std::optional<base::time_point> m_retry_at;
    retry_backoff m_backoff;
    // Set while a watch is open.
    std::optional<std::chrono::milliseconds> m_open_watch_interval;
    // Not set until the watch's first report.
    std::optional<base::time_point> m_report_due_at;
    bool m_polling_relay = false;
    std::map<base::instance_id, base::time_point> m_avoided_until;
    // When all relays failed.
    std::optional<base::time_point> m_repoll_at;
    // The latest answer of a relay that it has lost the store.
    std::optional<base::time_point> m_store_lost_by_relay_at;
    std::map<std::string, unread_value> m_unread; // by key
    large_values m_values;
    // The latest `on_complete`.
    base::boot_time m_complete_at{};
    // The newest configuration could not be read.
    bool m_configuration_unreadable = false;
    bool m_is_rejected = false;
    std::optional<base::time_point> m_read_retry_at;
    retry_backoff m_read_backoff;
    send_budget m_relay_budget;
};

} // namespace pollenreel::fleet
