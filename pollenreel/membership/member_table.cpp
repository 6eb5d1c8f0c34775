#include "pollenreel/membership/member_table.hpp"

#include <xxhash.h>

#include <tuple>

namespace pollenreel::membership {

namespace {

using peer::member_state;

// Orders the states within one incarnation; the greater one overrides.
int state_rank(const peer::member& m, member_state s) {
    return 2 * static_cast<int>(s) + (m.leaving ? 1 : 0);
}

bool is_newer(const peer::member_update& update, const member_entry& held) {
    return std::tuple(update.member.incarnation,
                      state_rank(update.member, update.state)) >
           std::tuple(held.member.incarnation,
                      state_rank(held.member, held.state));
}

std::uint64_t hash_id(const base::instance_id& id, std::uint64_t salt) {
    return XXH3_64bits_withSeed(id.str().data(), id.str().size(), salt);
}

} // namespace

member_table::member_table(peer::member self, base::time_point now)
    : m_self(self.instance) {
    auto& e = m_entries[m_self];
    e = {std::move(self), member_state::live, {}, now};
    toggle_digest(e);
}

bool member_table::merge(const peer::member_update& update,
                         base::time_point now) {
    const auto& id = update.member.instance;
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        if (update.state == member_state::dead) {
            return false;
        }
        const auto& added =
            m_entries
                .emplace(id, member_entry{update.member, update.state, {}, now})
                .first->second;
        toggle_digest(added);
        ++m_names_generation;
        ++m_usable_generation;
        return true;
    }
    auto& held = found->second;
    if (!is_newer(update, held)) {
        return false;
    }
    const auto before = held;
    toggle_digest(held);
    if (update.member.incarnation != before.member.incarnation &&
        id != m_self) {
        held.applied = {}; // unknown: the member may have restarted
    }
    held.member = update.member;
    held.state = update.state;
    held.state_since = now;
    toggle_digest(held);
    update_generations(before, held);
    return true;
}

bool member_table::raise_applied(const base::instance_id& id,
                                 base::config_version version) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || version <= found->second.applied) {
        return false;
    }
    found->second.applied = version;
    return true;
}

bool member_table::raise_applied(std::string_view bits,
                                 base::config_version version) {
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

bool member_table::set_state(const base::instance_id& id, member_state state,
                             base::time_point now) {
    const auto* held = find(id);
    return held != nullptr && merge({held->member, state}, now);
}

void member_table::remove_expired_tombstones(base::time_point now) {
    const auto removed = std::erase_if(m_entries, [&](const auto& e) {
        return e.second.state == member_state::dead &&
               now - e.second.state_since >= tombstone_lifetime;
    });
    if (removed > 0) {
        ++m_names_generation;
    }
}

void member_table::restart_suspicion_timers(base::time_point now) {
    for (auto& [id, e] : m_entries) {
        if (e.state == member_state::suspect) {
            e.state_since = now;
        }
    }
}

const member_entry* member_table::find(const base::instance_id& id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const member_entry& member_table::self() const {
    return m_entries.at(m_self);
}

std::uint64_t member_table::digest() const {
    return XXH3_64bits(m_buckets.data(), sizeof(m_buckets));
}

std::size_t member_table::bucket_of(const base::instance_id& id) {
    return hash_id(id, 0) % bucket_count;
}

void member_table::toggle_digest(const member_entry& e) {
    if (e.state == member_state::dead) {
        return;
    }
    const auto& m = e.member;
    const auto salt = m.incarnation * 4 + state_rank(m, e.state);
    m_buckets.at(bucket_of(m.instance)) ^= hash_id(m.instance, salt);
}

void member_table::update_generations(const member_entry& before,
                                      const member_entry& after) {
    const bool was_dead = before.state == member_state::dead;
    if (was_dead != (after.state == member_state::dead) ||
        before.member.incarnation != after.member.incarnation) {
        ++m_names_generation;
    }
    const bool same_location =
        before.member.caller_address == after.member.caller_address &&
        before.member.failure_domain == after.member.failure_domain;
    if (is_usable(before) != is_usable(after) || !same_location) {
        ++m_usable_generation;
    }
}

} // namespace pollenreel::membership
