// The last deltas of one instance, each beginning where the one before ended:
// what it answers a peer with that was away for a while. Bounded; a peer that
// was away for longer gets the whole.
#pragma once

#include "pollenreel/feed/messages.hpp"

#include <deque>
#include <vector>

namespace pollenreel::feed {

constexpr std::size_t most_logged_deltas = 128;
constexpr std::size_t most_logged_bytes = std::size_t{512} * 1024;

class delta_log {
public:
    // `d` begins at the end of the last one; else the log begins anew.
    void append(delta d);

    // The deltas from `have` to the end; empty when `have` is not kept.
    [[nodiscard]] std::vector<delta> since(base::config_version have) const;

private:
    std::deque<delta> m_deltas;
    std::size_t m_bytes = 0;
};

} // namespace pollenreel::feed
