// A bounded log of recent store changes, from which a relay serves the changes
// that other instances have missed. Keeps only the latest change of each key.
//
//   change_journal journal;
//   journal.reset(listed_at);
//   journal.add(change);
//   if (const auto missed = journal.changes_between(known, seen)) ...
#pragma once

#include "pollenreel/store/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::fleet {

// Performs no I/O. Not thread-safe.
class change_journal {
public:
    // Several times the number of keys that one watcher of the largest fleet
    // follows.
    static constexpr std::size_t max_changes = 4096;

    // Clears the journal; it is complete for changes after `at`.
    void reset(store::revision at);
    void add(const store::key_change& c);
    // Returns the changes after `known` up to and including `until`, or nullopt
    // if some of them are no longer kept.
    [[nodiscard]] std::optional<std::vector<store::key_change>>
    changes_between(store::revision known, store::revision until) const;

    // The last change of a key, if it is kept.
    [[nodiscard]] std::optional<store::key_change>
    last_change(const std::string& key) const;

private:
    using position = std::pair<store::revision, std::string>;

    store::revision m_complete_after{};
    std::map<position, store::key_change> m_changes;
    std::map<std::string, store::revision> m_last_revisions; // by key
};

} // namespace pollenreel::fleet
