#include "pollenreel/request/connection_book.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

// Part of a target's announced idle time-out in which its connection is
// reused: the target counts from when it sent, and its close takes time.
constexpr int trusted_percent = 60;

} // namespace

std::optional<connection_id> connection_book::reuse(const base::endpoint& to,
                                                    bool idempotent,
                                                    base::time_point now) {
    auto& idle = m_peers[to].idle;
    if (idle.empty()) {
        return std::nullopt;
    }
    const auto id = idle.back();
    auto& c = m_connections.at(id);
    const auto longest = idempotent
                             ? c.longest_idle
                             : std::min(c.longest_idle, m_limits.proven_for);
    if (now - *c.answered > longest) {
        return std::nullopt;
    }
    idle.pop_back();
    c.answered.reset();
    return id;
}

void connection_book::opened(connection_id id, const base::endpoint& to) {
    m_connections[id] = {to, std::nullopt, m_limits.longest_idle};
    ++m_peers[to].open;
}

void connection_book::answered(
    connection_id id, base::time_point now,
    std::optional<std::chrono::milliseconds> keep_alive) {
    auto& c = m_connections.at(id);
    c.longest_idle = m_limits.longest_idle;
    if (keep_alive) {
        c.longest_idle =
            std::min(c.longest_idle, *keep_alive * trusted_percent / 100);
    }
    c.answered = now;
    m_peers[c.to].idle.push_back(id);
}

void connection_book::closed(connection_id id) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto& p = m_peers[found->second.to];
    std::erase(p.idle, id);
    --p.open;
    m_connections.erase(found);
}

std::vector<connection_id> connection_book::silent(connection_id id,
                                                   base::time_point since) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return {};
    }
    auto suspects = m_peers[found->second.to].idle;
    std::erase_if(suspects, [&](connection_id other) {
        return *m_connections.at(other).answered >= since;
    });
    return suspects;
}

std::vector<connection_id> connection_book::expired(base::time_point now) {
    std::vector<connection_id> old;
    for (const auto& [id, c] : m_connections) {
        if (c.answered && now - *c.answered > c.longest_idle) {
            old.push_back(id);
        }
    }
    return old;
}

std::optional<connection_id>
connection_book::oldest_idle(const base::endpoint& to) const {
    const auto found = m_peers.find(to);
    if (found == m_peers.end() || found->second.idle.empty()) {
        return std::nullopt;
    }
    return found->second.idle.front();
}

std::size_t connection_book::open_to(const base::endpoint& to) const {
    const auto found = m_peers.find(to);
    return found == m_peers.end() ? 0 : found->second.open;
}

} // namespace pollenreel::request
