// Which connection to a target an attempt gets, and which are given up. Pure
// decisions; whoever owns the sockets opens and closes as told.
//
//   connection_book book(limits);
//   if (auto id = book.reuse(target, true, now)) { ... } else { open(); }
//   book.opened(id, target, now);
//   book.answered(id, now);
//   for (auto id : book.silent(id, since)) close(id);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/base/endpoint.hpp"
#include "pollenreel/base/ids.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace pollenreel::request {

using connection_id = base::number_id<struct connection_tag>;

struct connection_limits {
    // An idle connection is not used again after this. Longer saves connects
    // and trusts connections that may have been forgotten on the way.
    std::chrono::milliseconds max_idle{20'000};
    // A non-idempotent request is sent only on a connection that is new or
    // has brought an answer this recently: it cannot be repeated when the
    // connection turns out to be dead. Longer saves connects.
    std::chrono::milliseconds max_idle_non_idempotent{1000};
};

// One thread only.
class connection_tracker {
public:
    explicit connection_tracker(connection_limits limits) : m_limits(limits) {}

    // Takes an idle connection into use, the one that answered last: others
    // then age and are closed. Empty: a new one has to be opened.
    std::optional<connection_id> acquire_idle(const base::endpoint& to,
                                              bool idempotent,
                                              base::time_point now);
    // A new connection is in use from now on.
    void on_opened(connection_id id, const base::endpoint& to);
    // A whole answer came; the connection is idle and may be used again.
    // `keep_alive`: how long the target said that it keeps it open.
    void on_answered(connection_id id, base::time_point now,
                     std::optional<std::chrono::milliseconds> keep_alive = {});
    // It was closed, for whatever reason.
    void on_closed(connection_id id);

    // An attempt that began at `since` on `id` got nothing back. Returns the
    // idle connections to the same target that have not answered since then
    // either, to be closed: what forgot one has likely forgotten them all.
    std::vector<connection_id> find_suspects(connection_id id,
                                             base::time_point since);
    // Idle connections that are too old to be used again, to be closed.
    std::vector<connection_id> find_expired(base::time_point now);

    // The idle connection that answered longest ago, to be closed when a new
    // one would be one too many.
    [[nodiscard]] std::optional<connection_id>
    oldest_idle(const base::endpoint& to) const;
    // Open connections to `to`, in use or idle.
    [[nodiscard]] std::size_t count_open(const base::endpoint& to) const;

private:
    struct connection {
        base::endpoint target;
        std::optional<base::time_point> idle_since; // set while idle
        std::chrono::milliseconds max_idle{};
    };
    struct target_connections {
        std::size_t open = 0;
        std::vector<connection_id> idle; // the last to answer at the back
    };

    connection_limits m_limits;
    boost::unordered_flat_map<connection_id, connection> m_connections;
    std::map<base::endpoint, target_connections> m_targets;
};

} // namespace pollenreel::request
