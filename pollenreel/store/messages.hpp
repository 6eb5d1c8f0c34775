// What is asked of the platform's key-value service and what it answers, as
// plain values. Decision code emits requests and receives replies; an adapter
// (etcd_client.hpp) carries them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pollenreel::store {

// Position in the store's history; grows with each write. Zero: before any.
struct revision {
    std::int64_t value = 0;
    friend auto operator<=>(const revision&, const revision&) = default;
};

struct entry {
    std::string key;
    std::string value;
    revision modified;
};

// Requests.
struct read {
    std::string key;
};
// Writes `value` only if `key` was last modified at `expected`; an expected
// revision of zero means that the key must not exist.
struct compare_and_swap {
    std::string key;
    std::string value;
    revision expected;
};
using request = std::variant<read, compare_and_swap>;

// Replies.
struct found {
    std::optional<entry> value; // empty: no such key
};
struct swapped {
    revision at;
};
struct conflicting {
    std::optional<entry> current;
};
struct unreachable {}; // the request was not received: nothing happened
struct unanswered {};  // a write may have taken effect
using reply =
    std::variant<found, swapped, conflicting, unreachable, unanswered>;

} // namespace pollenreel::store
