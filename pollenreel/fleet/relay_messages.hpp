// What instances of one region say to each other about the platform's store:
// one watches it, the others ask that one what has changed.
#pragma once

#include "pollenreel/store/messages.hpp"

#include <chrono>
#include <vector>

namespace pollenreel::fleet {

struct relay_request {
    store::revision known_revision; // changes up to it are known
    // The answer may be held back so long when there is nothing new.
    std::chrono::milliseconds max_wait{};
};

enum class relay_status {
    current,      // all changes up to `seen` are in the answer
    behind,       // the changes after `known` are not all kept any more
    not_watching, // does not watch the store, or lost it a moment ago
};

struct relay_response {
    relay_status status = relay_status::not_watching;
    store::revision seen_revision;
    std::chrono::milliseconds age{}; // since the store answered the sender
    std::vector<store::key_change> changes; // in the order of revisions
};

} // namespace pollenreel::fleet
