// What one instance holds of every member of the fleet, itself included: the
// greatest (incarnation, state) seen wins, so that messages may be lost,
// doubled, late or reordered. Pure.
//
//   membership::roster r(self, now);
//   if (r.merge(update, now)) tell_neighbours(update.member.instance);
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

// How long a dead member is remembered. Must outlast the longest separation
// of two regions that is to heal by itself; trades memory and probes of the
// dead against that.
constexpr std::chrono::hours tombstone_lifetime{2};
// Buckets that anti-entropy compares. More of them send fewer members that
// did not differ and more digests.
constexpr std::size_t bucket_count = 64;
using bucket_digests = std::array<std::uint64_t, bucket_count>;

struct member_entry {
    peer::member member;
    peer::member_state state = peer::member_state::live;
    base::config_version applied; // greatest that it is known to apply
    base::time_point state_since; // when `state` was learnt
};

// May be named to callers.
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

    // Takes `update` in if it is newer than what is held. Returns whether it
    // was. News of the death of an unknown member is not taken, so that
    // forgotten members do not come back from one instance to the next.
    bool merge(const peer::member_update& update, base::time_point now);
    // Raises `applied` of a member; unknown members are passed over. Returns
    // whether it was raised.
    bool raise_applied(const base::instance_id& id,
                       base::config_version version);
    // The same for every living member whose bit is set in `bits`, in the
    // order of names. Returns whether any was raised.
    bool raise_applied(std::string_view bits, base::config_version version);
    // Judges a member at the incarnation held.
    bool set_state(const base::instance_id& id, peer::member_state state,
                   base::time_point now);
    // Drops members that have been dead for `tombstone_time`.
    void remove_expired_tombstones(base::time_point now);
    // Starts the suspicion of all suspects anew.
    void restart_suspicion_timers(base::time_point now);

    [[nodiscard]] const std::map<base::instance_id, member_entry>& all() const {
        return m_entries;
    }
    [[nodiscard]] const member_entry* find(const base::instance_id& id) const;
    [[nodiscard]] const member_entry& self() const;
    [[nodiscard]] peer::member_update update_of(const member_entry& e) const {
        return {e.member, e.state};
    }

    // Equal on two instances that hold the same living members.
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] const bucket_digests& buckets() const { return m_buckets; }
    [[nodiscard]] static std::size_t bucket_of(const base::instance_id& id);

    // Grows when the set of usable members, or how they are reached, changes.
    [[nodiscard]] std::uint64_t usable_generation() const {
        return m_usable_generation;
    }
    // Grows when a name is added or dropped, or a member dies, returns or
    // takes another incarnation.
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
