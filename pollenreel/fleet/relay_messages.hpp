// Messages between instances of one region: one instance watches the
// platform's store, the others poll it for changes.
#pragma once

#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace pollenreel::fleet {

struct relay_request {
    store::revision known_revision; // all changes up to it are known
    // The relay may delay the response for this long while nothing is new.
    std::chrono::milliseconds max_wait{};
    // Large values may be sent as references.
    bool accepts_references = false;
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
    not_watching, // does not watch the store, or just lost contact
};

struct relay_response {
    relay_status status = relay_status::not_watching;
    store::revision seen_revision;
    std::chrono::milliseconds
        age{}; // since the store's last reply to the sender
    std::vector<store::key_change> changes; // ordered by revision
    std::vector<key_reference> references{};
};

} // namespace pollenreel::fleet
