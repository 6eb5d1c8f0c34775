// All control decisions of one instance, behind one seam: events go in with
// the time at which they happened, effects come out for a driver to carry out
// in order. Knows no sockets, threads or clocks; the daemon's control thread
// is one driver, tests are others.
//
//   control::core c(identity);
//   for (auto& e : c.handle(control::tick{}, now)) run(e);
//
// Order: a driver passes events one at a time, from one thread, carries out
// the effects of one before it passes the next, and passes `tick` every
// `tick_period`.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/control/committer.hpp"
#include "pollenreel/feed/feed.hpp"
#include "pollenreel/language/command.hpp"
#include "pollenreel/membership/core.hpp"
#include "pollenreel/peer/message.hpp"
#include "pollenreel/routing/snapshot.hpp"
#include "pollenreel/shift/coordinator.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::control {

constexpr std::chrono::milliseconds tick_period{100};

// Identifies an operator's call until it is answered.
using call_id = base::number_id<struct call_tag>;

// Who is asking for a store call; comes back with its reply.
enum class store_user { committer, feed, shares };

// Events.
struct tick {};
// What one traffic thread did since its previous report.
struct traffic_reported {
    shift::traffic_report report;
};
struct store_replied {
    store_user user;
    store::reply reply;
};
struct watch_reported {
    store::watch_report report;
};
struct peer_received {
    peer::message message;
};
struct query_received {
    call_id call;
    language::query query;
};
struct change_received {
    call_id call;
    control::change change;
};
// What would change if `document` were applied, and what speaks against it.
struct plan_received {
    call_id call;
    declarations::document document;
};
struct stop_requested {};
struct platform_list_changed {
    std::vector<membership::platform_instance> instances;
};
using event =
    std::variant<tick, traffic_reported, store_replied, watch_reported,
                 peer_received, query_received, change_received, plan_received,
                 stop_requested, platform_list_changed>;

// Effects. At most one watch is open: opening one closes the one before.
using feed::close_watch;
using feed::open_watch;
struct call_store {
    store_user user;
    store::request request;
};
struct send_peer {
    base::endpoint to;
    peer::message message;
};
struct publish { // to the traffic threads
    routing::snapshot_ptr snapshot;
};
enum class answer_status { ok, refused, lost_race, undecided };
struct publish_allowances { // to the traffic threads
    shift::allowances_ptr allowances;
};
struct answer_operator {
    call_id call;
    answer_status status;
    std::string json;
};
struct stop_instance {}; // operators drained it: as if told to end
using effect =
    std::variant<call_store, open_watch, close_watch, send_peer, publish,
                 publish_allowances, answer_operator, stop_instance>;
using effects = std::vector<effect>;

struct identity {
    peer::member self;
    std::vector<base::endpoint> seeds;
    std::string configuration_key;
    std::uint32_t traffic_threads = 1;
};

class core {
public:
    core(identity who, base::time_point now);

    [[nodiscard]] effects handle(const event& e, base::time_point now);
    [[nodiscard]] base::config_version applied() const {
        return m_configuration.version;
    }
    [[nodiscard]] const declarations::configuration& configuration() const {
        return m_configuration;
    }
    // Of the shifts from this instance's region.
    [[nodiscard]] std::vector<shift::progress>
    shifts(base::time_point now) const;
    [[nodiscard]] const base::instance_id& self() const {
        return m_who.self.instance;
    }
    // Empty as long as no configuration declares this failure domain.
    [[nodiscard]] const base::region_id& own_region() const {
        return m_snapshot->region;
    }

private:
    void on(const tick& e, base::time_point now, effects& out);
    void on(const traffic_reported& e, base::time_point now, effects& out);
    void on(const store_replied& e, base::time_point now, effects& out);
    void on(const watch_reported& e, base::time_point now, effects& out);
    void on(const peer_received& e, base::time_point now, effects& out);
    void on(const query_received& e, base::time_point now, effects& out);
    void on(const change_received& e, base::time_point now, effects& out);
    void on(const plan_received& e, base::time_point now, effects& out);
    void on(const stop_requested& e, base::time_point now, effects& out);

    void on(const platform_list_changed& e, base::time_point now, effects& out);
    // One for membership's messages, one for the feed's.
    template <class Message>
    void on_message(const Message& m, base::time_point now, effects& out);

    void run(shift::effects from, effects& out);
    void tell_coordinator(base::time_point now, effects& out);
    void take_step(committer::step s, base::time_point now, effects& out);
    void run(feed::effects from, base::time_point now, effects& out);
    void apply(declarations::configuration c, base::time_point now,
               effects& out);
    // Tells the feed who is live, if that or the regions changed.
    void tell_feed_members(base::time_point now, effects& out);
    void tick_membership(base::time_point now, effects& out);
    void obey_drains(base::time_point now, bool starting, effects& out);
    void republish(base::time_point now, effects& out);

    identity m_who;
    declarations::configuration m_configuration;
    committer m_committer;
    membership::core m_membership;
    std::map<base::command_id, call_id> m_waiting; // operators' calls
    std::uint64_t m_published_generation = 0;      // of the usable members
    std::uint64_t m_told_generation = 0;
    bool m_stopping = false;
    routing::snapshot_ptr m_snapshot = std::make_shared<routing::snapshot>();
    feed::feed m_feed;
    // None as long as this instance's region is not declared.
    std::optional<shift::coordinator> m_coordinator;
    base::region_id m_coordinated;
    std::vector<feed::member> m_live; // as the feed was told
};

} // namespace pollenreel::control
