// Messages between instances of one region: one instance watches the
// platform's store, the others poll it for changes.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenreel::fleet {

// A key that was written at `at`, without its value. The relay sends the value
// on request if its link has bandwidth left, and the store always has it.
struct key_reference {
    std::string key;
    store::revision at;
};

// The value of a key at `at`, compressed against that at `base`, or on its own
// if that is zero.
struct value_step {
    store::revision base;
    store::revision at;
    std::string bytes;
};

// The steps from a value that the receiver has to the latest one.
struct value_delta {
    std::string key;
    std::vector<value_step> steps; // at least one
};

struct relay_request {
    store::revision known_revision; // all changes up to it are known
    // The relay may delay the response for this long while nothing is new.
    std::chrono::milliseconds max_wait{};
    // Large values may be sent as references.
    bool accepts_references = false;
    // They may be sent as deltas, too, from these values.
    bool accepts_deltas = false;
    std::vector<key_reference> held{};
    // Set by the receiver.
    base::boot_time received_at{};
};

// Asks for the last change of a key.
struct value_request {
    std::string key;
    bool accepts_delta = false;
    store::revision held{}; // of the value that the sender has; zero: none
};
using relayed_value = std::variant<store::key_change, value_delta>;

enum class relay_status {
    current,      // contains all changes up to `seen_revision`
    behind,       // some changes after `known_revision` are no longer kept
    not_watching, // does not watch the store
    store_lost,   // does, and has lost contact
};

struct relay_response {
    relay_status status = relay_status::not_watching;
    store::revision seen_revision;
    std::chrono::milliseconds
        age{}; // since the store's last reply to the sender
    std::vector<store::key_change> changes; // ordered by revision
    std::vector<key_reference> references{};
    // The time as of which the sender's configuration is confirmed, counted
    // from when it received the poll. Without it nothing is confirmed.
    std::optional<std::chrono::milliseconds> confirmed_after{};
    // Removals among the changes may be due to an outage of the store.
    restore_times restoring_for{};
    std::vector<value_delta> deltas{};
    // When the poll was sent; set by the receiver.
    base::boot_time asked_at{};
};

} // namespace pollenreel::fleet
