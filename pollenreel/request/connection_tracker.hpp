// Decides which connection to a target an attempt uses and which connections
// are closed. Does no I/O; the owner of the sockets opens and closes them.
//
//   connection_tracker tracker(limits);
//   if (auto id = tracker.acquire_idle(target, true, now)) { ... }
//   tracker.on_opened(id, target);
//   tracker.on_answered(id, now);
//   for (auto id : tracker.find_suspects(id, since)) close(id);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"
#include "pollenreel/request/idle_evidence.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace pollenreel::request {

using connection_id = base::number_id<struct connection_tag>;

struct connection_limits {
    // An idle connection is not reused after this time. A longer one saves
    // connects, and reuses connections that the network may have dropped.
    std::chrono::milliseconds max_idle{20'000};
    // A non-idempotent request is sent only on a connection that is new or has
    // received a response this recently, because it cannot be retried when the
    // connection turns out to be dead. A longer time saves connects.
    std::chrono::milliseconds max_idle_non_idempotent{1000};
    // The limit for non-idempotent requests rises up to this as far as
    // responses on reused connections show that to be harmless. Whether a
    // request may be repeated does not depend on it.
    std::chrono::milliseconds max_proven_idle{0};
    // `max_idle` for targets that announce for how long they keep connections,
    // if longer.
    std::chrono::milliseconds max_announced_idle{0};
};

// Not thread-safe.
class connection_tracker {
public:
    explicit connection_tracker(connection_limits limits) : m_limits(limits) {}

    // Returns the most recently used idle connection, which is then in use, so
    // that surplus connections age and are closed. Empty if a new one has to be
    // opened.
    std::optional<connection_id> acquire_idle(const base::endpoint& target,
                                              bool idempotent,
                                              base::time_point now);
    // A new connection was opened and is in use.
    void on_opened(connection_id id, const base::endpoint& target);
    // A complete response was received, and the connection is idle.
    // `keep_alive` is the idle timeout that the target announced.
    void on_answered(connection_id id, base::time_point now,
                     std::optional<std::chrono::milliseconds> keep_alive = {});
    // Call before `on_closed` if the connection broke before the response to
    // the request on it, or turned out closed when it was acquired.
    void on_lost(connection_id id, base::time_point now);
    // Call before `on_closed` if the request on it was given up without a
    // response.
    void on_silent(connection_id id);
    // The connection was closed for any reason.
    void on_closed(connection_id id);

    // Call when an attempt that started at `since` on `id` got no response.
    // Returns the idle connections to the same target that have received none
    // since then either. They should be closed: whatever dropped one connection
    // has likely dropped all of them.
    std::vector<connection_id> find_suspects(connection_id id,
                                             base::time_point since);
    // Connections that have been idle for too long and should be closed.
    std::vector<connection_id> find_expired(base::time_point now);

    // The least recently used idle connection, to be closed when a new one
    // would exceed the limit.
    [[nodiscard]] std::optional<connection_id>
    oldest_idle(const base::endpoint& target) const;
    // Number of connections to `target`, in use or idle.
    [[nodiscard]] std::size_t count_open(const base::endpoint& target) const;

private:
    struct connection {
        base::endpoint target;
        std::optional<base::time_point> idle_since; // set while idle
        std::chrono::milliseconds max_idle{};
        // Idle time before its last request; nullopt if it was new then.
        std::optional<base::duration> reused_after{};
    };
    struct target_connections {
        std::size_t open = 0;
        std::vector<connection_id> idle; // most recently used last
        // The longest idle time after which a request went unanswered. The
        // target may be slow or have forgotten its connections, so that
        // non-idempotent requests use them as if nothing were proven until it
        // answers after at least that idle time.
        std::optional<base::duration> silent_after{};
    };

    [[nodiscard]] base::duration
    max_idle_of_non_idempotent(const target_connections& at,
                               base::time_point now) const;

    connection_limits m_limits;
    idle_evidence m_evidence;
    boost::unordered_flat_map<connection_id, connection> m_connections;
    std::map<base::endpoint, target_connections> m_targets;
};

} // namespace pollenreel::request
