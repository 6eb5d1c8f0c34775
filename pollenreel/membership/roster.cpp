#include "pollenreel/membership/roster.hpp"

#include <xxhash.h>

#include <tuple>

namespace pollenreel::membership {

namespace {

using peer::member_state;

// The order of states within one incarnation: a later one overrides.
int rank(const peer::member& m, member_state s) {
    return 2 * static_cast<int>(s) + (m.leaving ? 1 : 0);
}

bool newer(const peer::member_update& update, const entry& held) {
    return std::tuple(update.member.incarnation,
                      rank(update.member, update.state)) >
           std::tuple(held.member.incarnation, rank(held.member, held.state));
}

std::uint64_t hash_of(const base::instance_id& id, std::uint64_t salt) {
    return XXH3_64bits_withSeed(id.str().data(), id.str().size(), salt);
}

} // namespace

roster::roster(peer::member self, base::time_point now)
    : m_self(self.instance) {
    auto& e = m_entries[m_self];
    e = {std::move(self), member_state::live, {}, now};
    toggle_digest(e);
}

bool roster::merge(const peer::member_update& update, base::time_point now) {
    const auto& id = update.member.instance;
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        if (update.state == member_state::dead) {
            return false;
        }
        const auto& added =
            m_entries.emplace(id, entry{update.member, update.state, {}, now})
                .first->second;
        toggle_digest(added);
        ++m_names_generation;
        ++m_usable_generation;
        return true;
    }
    auto& held = found->second;
    if (!newer(update, held)) {
        return false;
    }
    const auto before = held;
    toggle_digest(held);
    if (update.member.incarnation != before.member.incarnation &&
        id != m_self) {
        held.applied = {}; // it may have restarted: what it applies is unknown
    }
    held.member = update.member;
    held.state = update.state;
    held.since = now;
    toggle_digest(held);
    note_change(before, held);
    return true;
}

bool roster::set_applied(const base::instance_id& id,
                         base::config_version version) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || version <= found->second.applied) {
        return false;
    }
    found->second.applied = version;
    return true;
}

bool roster::set_applied(std::string_view bits, base::config_version version) {
    bool raised = false;
    std::size_t position = 0;
    for (auto& [id, e] : m_entries) {
        if (e.state == member_state::dead) {
            continue;
        }
        if (has_bit(bits, position) && e.applied < version) {
            e.applied = version;
            raised = true;
        }
        ++position;
    }
    return raised;
}

bool roster::judge(const base::instance_id& id, member_state state,
                   base::time_point now) {
    const auto* held = find(id);
    return held != nullptr && merge({held->member, state}, now);
}

void roster::forget_dead(base::time_point now) {
    const auto gone = std::erase_if(m_entries, [&](const auto& e) {
        return e.second.state == member_state::dead &&
               now - e.second.since >= tombstone_time;
    });
    if (gone > 0) {
        ++m_names_generation;
    }
}

void roster::restart_suspicions(base::time_point now) {
    for (auto& [id, e] : m_entries) {
        if (e.state == member_state::suspect) {
            e.since = now;
        }
    }
}

const entry* roster::find(const base::instance_id& id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const entry& roster::self() const {
    return m_entries.at(m_self);
}

std::uint64_t roster::digest() const {
    return XXH3_64bits(m_buckets.data(), sizeof(m_buckets));
}

std::size_t roster::bucket_of(const base::instance_id& id) {
    return hash_of(id, 0) % bucket_count;
}

void roster::toggle_digest(const entry& e) {
    if (e.state == member_state::dead) {
        return;
    }
    const auto& m = e.member;
    const auto salt = m.incarnation * 4 + rank(m, e.state);
    m_buckets.at(bucket_of(m.instance)) ^= hash_of(m.instance, salt);
}

void roster::note_change(const entry& before, const entry& after) {
    const bool was_dead = before.state == member_state::dead;
    if (was_dead != (after.state == member_state::dead) ||
        before.member.incarnation != after.member.incarnation) {
        ++m_names_generation;
    }
    const bool same_place =
        before.member.caller_address == after.member.caller_address &&
        before.member.failure_domain == after.member.failure_domain;
    if (usable(before) != usable(after) || !same_place) {
        ++m_usable_generation;
    }
}

} // namespace pollenreel::membership
