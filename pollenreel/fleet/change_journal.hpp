// The changes of the store that mattered lately, for instances that ask for
// what they have not seen. Keeps the last change of each key only.
//
//   change_journal j;
//   j.begin(listed_at);
//   j.add(change);
//   if (const auto missed = j.between(known, seen)) ...
#pragma once

#include "pollenreel/store/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::fleet {

// Pure; one thread only.
class change_journal {
public:
    // Some times the keys of the largest fleet on one watcher.
    static constexpr std::size_t max_changes = 4096;

    // Forgets all; complete for changes after `at` from now on.
    void reset(store::revision at);
    void add(const store::key_change& c);
    // The changes after `known` up to `until`; empty if not all are kept.
    [[nodiscard]] std::optional<std::vector<store::key_change>>
    changes_between(store::revision known, store::revision until) const;

private:
    using position = std::pair<store::revision, std::string>;

    store::revision m_complete_after{};
    std::map<position, store::key_change> m_changes;
    std::map<std::string, store::revision> m_last_revisions; // of each key
};

} // namespace pollenreel::fleet
