// Requests to the platform's key-value service and its replies, as plain
// values. Decision code emits requests and receives replies; a client
// (etcd_client.hpp) transports them. Unlike a call, which gets one reply, a
// watch is opened once and yields reports until it is closed.
//
//   store::compare_and_swap write{"pollenreel/cap", "40", seen.modified};
//   write.lease = lease; // the key is removed when the lease ends
#pragma once

#include "pollenreel/base/ids.hpp"

#include "pollenreel/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::store {

// Position in the store's history; increases with each write. Zero is before
// any write.
struct revision {
    std::int64_t value = 0;
    friend auto operator<=>(const revision&, const revision&) = default;
};

// A lease granted by the store. Zero means no lease.
using lease_id = base::number_id<struct lease_tag>;

struct entry {
    std::string key;
    std::string value;
    revision modified;
    lease_id lease{};
};

// Requests.
struct read {
    std::string key;
    // Requests only the revisions; the returned value is empty.
    bool keys_only = false;
};
// Writes `value` only if `key` was last modified at `expected`; an expected
// revision of zero means that the key must not exist. With a lease, the key
// is removed when that lease ends.
struct compare_and_swap {
    std::string key;
    std::string value;
    revision expected;
    lease_id lease{};
};
// Removes `key` only if it was last modified at `expected`.
struct compare_and_remove {
    std::string key;
    revision expected;
};
// Reads all keys with `prefix`, in key order.
struct read_prefix {
    std::string prefix;
};
// Requests a lease of `time_to_live`. The holder must count that time from
// before it sent the request, never from the reply.
struct grant_lease {
    std::chrono::seconds time_to_live;
};
struct keep_alive {
    lease_id lease;
};
struct revoke_lease {
    lease_id lease;
};
using request =
    std::variant<read, compare_and_swap, compare_and_remove, read_prefix,
                 grant_lease, keep_alive, revoke_lease>;

// Replies.
struct found {
    std::optional<entry> value; // nullopt: no such key
    revision at{};              // of the store when it replied
};
struct swapped {
    revision at;
};
struct conflicting {
    std::optional<entry> current;
};
struct unreachable {}; // the request was not received and had no effect
// Outcome unknown: a write may have taken effect.
struct unanswered {
    std::string problem{}; // for the log
};
struct found_all {
    std::vector<entry> entries;
    revision at; // of the store when it replied
    // When the request was sent; the epoch if the client does not tell.
    base::boot_time asked_at{};
};
struct removed {
    revision at;
};
// Reply to grant_lease and keep_alive.
struct lease_held {
    lease_id lease;
    std::chrono::seconds time_to_live;
};
// The request's lease has ended; a write under it had no effect.
struct lease_gone {};
struct lease_revoked {};
using reply =
    std::variant<found, swapped, conflicting, unreachable, unanswered,
                 found_all, removed, lease_held, lease_gone, lease_revoked>;

// Requests every change of `key`, or of all keys with it as prefix, from
// revision `from` on.
struct watch {
    std::string key;
    bool prefix = false;
    revision from;
    // Minimum time between two batches of changes, for services that meter
    // calls.
    std::chrono::milliseconds min_interval{0};
    // For services that are polled: maximum time between two reports, even
    // without changes. If not set, the client chooses the interval.
    std::optional<std::chrono::milliseconds> max_report_interval{};
    // For such services too: maximum time until the first report.
    std::optional<std::chrono::milliseconds> first_report_within{};
};

// Reports of a watch, ordered by revision.
struct watch_opened {};
struct key_change {
    std::string key;
    revision at;
    std::optional<entry> value; // nullopt: the key was removed
};
struct watch_changed {
    std::vector<key_change> changes;
    // Further changes may be waiting: the next report follows at once, and
    // until then what is known may be old.
    bool more = false;
    // All changes up to then, at least, are known with this report, unless
    // there are more. When a client that polls sent the call; else the epoch.
    base::boot_time asked_at{};
};
// The store has compacted the changes before `oldest`. Ends the watch: read the
// keys again, then watch from the revision of that read.
struct watch_compacted {
    revision oldest;
};
// The connection failed or the service canceled the watch. Ends the watch:
// watch again from the revision after the last one seen.
struct watch_closed {
    std::string problem{}; // for the log
};
using watch_report =
    std::variant<watch_opened, watch_changed, watch_compacted, watch_closed>;

} // namespace pollenreel::store
