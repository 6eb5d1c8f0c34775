// What is asked of the platform's key-value service and what it answers, as
// plain values. Decision code emits requests and receives replies; an adapter
// (etcd_client.hpp) carries them. A watch is not a call with one answer: it
// is opened once and brings reports until it is cut.
//
//   store::compare_and_swap write{"pollenreel/cap", "40", seen.modified};
//   write.lease = lease; // the key goes when the lease does
#pragma once

#include "pollenreel/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::store {

// Position in the store's history; grows with each write. Zero: before any.
struct revision {
    std::int64_t value = 0;
    friend auto operator<=>(const revision&, const revision&) = default;
};

// A lease that the store granted. Zero: no lease.
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
    // Only the revisions are asked for; the value comes back empty.
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
// All keys that begin with `prefix`, in their order.
struct read_prefix {
    std::string prefix;
};
// Asks for a lease of `time_to_live`. The holder counts that time from before
// it asked, never from the answer.
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
    std::optional<entry> value; // empty: no such key
    revision at{};              // of the store when it answered
};
struct swapped {
    revision at;
};
struct conflicting {
    std::optional<entry> current;
};
struct unreachable {}; // the request was not received: nothing happened
struct unanswered {};  // a write may have taken effect
struct found_all {
    std::vector<entry> entries;
    revision at; // of the store when it answered
};
struct removed {
    revision at;
};
// To grant_lease and keep_alive.
struct lease_held {
    lease_id lease;
    std::chrono::seconds time_to_live;
};
// The lease that was named has ended; a write that named it did not happen.
struct lease_gone {};
struct lease_revoked {};
using reply =
    std::variant<found, swapped, conflicting, unreachable, unanswered,
                 found_all, removed, lease_held, lease_gone, lease_revoked>;

// Asks for every change of `key`, or of all keys that begin with it, that has
// a revision of `from` or later.
struct watch {
    std::string key;
    bool prefix = false;
    revision from;
    // Least time between two batches of changes, where the service's calls
    // are counted.
    std::chrono::milliseconds min_interval{0};
    // Where the service is polled: it reports at least this often, without
    // changes too. Empty: as often as the client needs for its own sake.
    std::optional<std::chrono::milliseconds> max_report_interval{};
};

// What a watch brings, in the order of revisions.
struct watch_opened {};
struct key_change {
    std::string key;
    revision at;
    std::optional<entry> value; // empty: the key was removed
};
struct watch_changed {
    std::vector<key_change> changes;
};
// Changes before `oldest` are no longer kept: read the keys, then watch from
// there. The watch is over.
struct watch_compacted {
    revision oldest;
};
// The connection is lost or never came up. Watch again from the revision
// after the last one seen. The watch is over.
struct watch_closed {};
using watch_report =
    std::variant<watch_opened, watch_changed, watch_compacted, watch_closed>;

} // namespace pollenreel::store
