// Messages between instances of one region: one instance watches the
// platform's store, the others poll it for changes.
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/fleet/fleet_state.hpp"
#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace pollenreel::fleet {

struct relay_request {
    store::revision known_revision; // all changes up to it are known
    // The relay may delay the response for this long while nothing is new.
    std::chrono::milliseconds max_wait{};
    // Large values may be sent as references.
    bool accepts_references = false;
    // Set by the receiver.
    base::boot_time received_at{};
};

// A key that was written at `at`, without its value. The relay sends the value
// on request if its link has bandwidth left, and the store always has it.
struct key_reference {
    std::string key;
    store::revision at;
};

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
    // When the poll was sent; set by the receiver.
    base::boot_time asked_at{};
};

} // namespace pollenreel::fleet
