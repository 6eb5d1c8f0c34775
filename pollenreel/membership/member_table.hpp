// The members of the fleet as known to one instance, itself included. The
// greatest (incarnation, state) seen wins, so updates may be lost, duplicated,
// delayed or reordered. Performs no I/O.
//
//   membership::member_table t(self, now);
//   if (t.merge(update, now)) d.on_member_changed(update.member.instance,
//   from);
#pragma once

#include "pollenreel/base/clock.hpp"
#include "pollenreel/peer/message.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace pollenreel::membership {

// How long a dead member is kept. Must exceed the longest partition between
// regions that is to heal without intervention; a longer time costs memory and
// probes of dead members.
constexpr std::chrono::hours tombstone_lifetime{2};
// Number of buckets that anti-entropy compares. More buckets send more digests
// but fewer members that do not differ.
constexpr std::size_t bucket_count = 64;
using bucket_digests = std::array<std::uint64_t, bucket_count>;

struct member_entry {
    peer::member member;
    peer::member_state state = peer::member_state::live;
    base::config_version applied; // greatest version it is known to apply
    base::time_point state_since; // when `state` was set
};

// Whether the member may be returned to callers.
[[nodiscard]] inline bool is_usable(const member_entry& e) {
    return e.state == peer::member_state::live && !e.member.leaving;
}

// Whether bit `position` is set.
[[nodiscard]] inline bool has_bit(std::string_view bits, std::size_t position) {
    constexpr std::size_t bits_per_byte = 8;
    const auto byte =
        static_cast<unsigned char>(bits[position / bits_per_byte]);
    return (byte >> (position % bits_per_byte) & 1U) != 0;
}

class member_table {
public:
    member_table(peer::member self, base::time_point now);

    // Applies `update` if it is newer than the entry. Returns whether it was.
    // Ignores the death of an unknown member, so that removed tombstones do not
    // spread again from one instance to the next.
    bool merge(const peer::member_update& update, base::time_point now);
    // Raises `applied` of a member; does nothing if the member is unknown.
    // Returns whether it was raised.
    bool raise_applied(const base::instance_id& id,
                       base::config_version version);
    // Raises `applied` of every member that is not dead and whose bit is set in
    // `bits`; the bits are in the order of names. Returns whether any was
    // raised.
    bool raise_applied(std::string_view bits, base::config_version version);
    // Merges `state` for a member at its known incarnation.
    bool set_state(const base::instance_id& id, peer::member_state state,
                   base::time_point now);
    // Removes members that have been dead for `tombstone_lifetime`.
    void remove_expired_tombstones(base::time_point now);
    // Restarts the suspicion timeout of all suspects.
    void restart_suspicion_timers(base::time_point now);

    [[nodiscard]] const std::map<base::instance_id, member_entry>& all() const {
        return m_entries;
    }
    [[nodiscard]] const member_entry* find(const base::instance_id& id) const;
    [[nodiscard]] const member_entry& self() const;
    [[nodiscard]] peer::member_update update_of(const member_entry& e) const {
        return {e.member, e.state};
    }

    // Equal on two instances with the same members that are not dead.
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] const bucket_digests& buckets() const { return m_buckets; }
    [[nodiscard]] static std::size_t bucket_of(const base::instance_id& id);

    // Increases when the set of usable members changes, or the caller address
    // or failure domain of a member.
    [[nodiscard]] std::uint64_t usable_generation() const {
        return m_usable_generation;
    }
    // Increases when a member is added or removed, dies, returns or takes
    // another incarnation.
    [[nodiscard]] std::uint64_t names_generation() const {
        return m_names_generation;
    }

private:
    void toggle_digest(const member_entry& e);
    void update_generations(const member_entry& before,
                            const member_entry& after);

    base::instance_id m_self;
    std::map<base::instance_id, member_entry> m_entries;
    bucket_digests m_buckets{};
    std::uint64_t m_usable_generation = 1;
    std::uint64_t m_names_generation = 1;
};

} // namespace pollenreel::membership
