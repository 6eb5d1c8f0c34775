#include "pollenreel/request/connection_tracker.hpp"

#include <algorithm>

namespace pollenreel::request {

namespace {

// Part of the idle timeout announced by a target in which its connection is not
// reused any more: the target's timer starts when it sends the response, and
// its close takes time to arrive.
constexpr int keep_alive_margin_percent = 40;
constexpr std::chrono::milliseconds max_keep_alive_margin{2000};

// Time within which a connection is reused.
std::chrono::milliseconds reuse_time(std::chrono::milliseconds keep_alive) {
    return keep_alive - std::min(keep_alive * keep_alive_margin_percent / 100,
                                 max_keep_alive_margin);
}

} // namespace

std::optional<connection_id>
connection_tracker::acquire_idle(const base::endpoint& target, bool idempotent,
                                 base::time_point now) {
    auto& connections = m_targets[target];
    auto& idle = connections.idle;
    if (idle.empty()) {
        return std::nullopt;
    }
    const auto id = idle.back();
    auto& c = m_connections.at(id);
    const auto limit =
        idempotent
            ? base::duration(c.max_idle)
            : std::min<base::duration>(
                  c.max_idle, max_idle_of_non_idempotent(connections, now));
    if (now - *c.idle_since > limit) {
        return std::nullopt;
    }
    idle.pop_back();
    c.reused_after = now - *c.idle_since;
    c.idle_since.reset();
    return id;
}

void connection_tracker::on_opened(connection_id id,
                                   const base::endpoint& target) {
    m_connections[id] = {target, std::nullopt, m_limits.max_idle, {}};
    ++m_targets[target].open;
}

void connection_tracker::on_answered(
    connection_id id, base::time_point now,
    std::optional<std::chrono::milliseconds> keep_alive) {
    auto& c = m_connections.at(id);
    if (c.reused_after) {
        m_evidence.on_answered(*c.reused_after, now);
        auto& silent_after = m_targets[c.target].silent_after;
        if (silent_after && *c.reused_after >= *silent_after) {
            silent_after.reset();
        }
    }
    c.max_idle = m_limits.max_idle;
    if (keep_alive) {
        c.max_idle =
            std::min(std::max(m_limits.max_idle, m_limits.max_announced_idle),
                     reuse_time(*keep_alive));
    }
    c.idle_since = now;
    m_targets[c.target].idle.push_back(id);
}

base::duration
connection_tracker::max_idle_of_non_idempotent(const target_connections& at,
                                               base::time_point now) const {
    const base::duration always = m_limits.max_idle_non_idempotent;
    if (m_limits.max_proven_idle <= always || at.silent_after) {
        return always;
    }
    return std::clamp<base::duration>(m_evidence.proven(now), always,
                                      m_limits.max_proven_idle);
}

void connection_tracker::on_lost(connection_id id, base::time_point now) {
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.reused_after) {
        m_evidence.on_lost(*found->second.reused_after, now);
    }
}

void connection_tracker::on_silent(connection_id id) {
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.reused_after) {
        auto& silent_after = m_targets[found->second.target].silent_after;
        silent_after = std::max(silent_after.value_or(base::duration::zero()),
                                *found->second.reused_after);
    }
}

void connection_tracker::on_closed(connection_id id) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto& p = m_targets[found->second.target];
    std::erase(p.idle, id);
    --p.open;
    m_connections.erase(found);
}

std::vector<connection_id>
connection_tracker::find_suspects(connection_id id, base::time_point since) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return {};
    }
    auto suspects = m_targets[found->second.target].idle;
    std::erase_if(suspects, [&](connection_id other) {
        return *m_connections.at(other).idle_since >= since;
    });
    return suspects;
}

std::vector<connection_id>
connection_tracker::find_expired(base::time_point now) {
    std::vector<connection_id> expired;
    for (const auto& [id, c] : m_connections) {
        if (c.idle_since && now - *c.idle_since > c.max_idle) {
            expired.push_back(id);
        }
    }
    return expired;
}

std::optional<connection_id>
connection_tracker::oldest_idle(const base::endpoint& target) const {
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.idle.empty()) {
        return std::nullopt;
    }
    return found->second.idle.front();
}

std::size_t connection_tracker::count_open(const base::endpoint& target) const {
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.open;
}

} // namespace pollenreel::request
