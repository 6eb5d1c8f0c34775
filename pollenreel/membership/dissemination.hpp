// The dissemination component of the protocol: tracks which member updates each
// contact has yet to be sent. Every change is sent once to every contact.
// Performs no I/O.
//
//   dissemination d;
//   d.on_member_changed(id, source);
//   auto g = d.make_gossip_for(contact, members);
#pragma once

#include "pollenreel/membership/member_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenreel::membership {

constexpr std::size_t max_updates_per_message = 16;
// Limit on contacts: the members that this instance probes and those that probe
// it.
constexpr std::size_t max_contacts = 24;

// A token bucket over bytes. Limits what an instance sends beyond its probes.
class byte_rate_limiter {
public:
    byte_rate_limiter(double bytes_per_second, double burst)
        : m_bytes_per_second(bytes_per_second), m_burst_bytes(burst),
          m_available_bytes(burst) {}

    [[nodiscard]] bool has_capacity(base::time_point now);
    void consume(std::size_t bytes) {
        m_available_bytes -= static_cast<double>(bytes);
    }

private:
    double m_bytes_per_second;
    double m_burst_bytes;
    double m_available_bytes;
    std::optional<base::time_point> m_last_refill;
};

// A member that this instance exchanges messages with.
struct contact {
    base::endpoint address;
    base::time_point last_heard;
    std::set<base::instance_id> pending_updates; // not yet sent
    std::uint64_t acknowledged_hash = 0; // last sent to or received from it
    std::optional<base::time_point> differs_since;
};

class dissemination {
public:
    // Sets the address of a contact and when it was last heard from, adding it
    // if unknown. Returns null when `max_contacts` is reached.
    contact* add_or_refresh(const base::instance_id& id,
                            const base::endpoint& address,
                            base::time_point now);
    [[nodiscard]] contact* find(const base::instance_id& id);
    // Removes contacts last heard from before `before`, except those in `kept`.
    void drop_silent(base::time_point before,
                     const std::vector<base::instance_id>& kept);
    [[nodiscard]] std::map<base::instance_id, contact>& contacts() {
        return m_contacts;
    }

    // Queues an update of `member` for all contacts but `source`, the sender of
    // the change, which is empty if there is none.
    void on_member_changed(const base::instance_id& member,
                           const base::instance_id& source);
    // Returns the gossip to send to `to`, and removes up to
    // `max_updates_per_message` of its pending updates. Includes the
    // acknowledgements if `to` may not have them.
    [[nodiscard]] peer::gossip make_gossip_for(contact& to,
                                               const member_table& members);
    // Merges acknowledgements from a contact. Returns whether they changed any
    // member's applied version.
    bool merge_acknowledgements(const base::instance_id& from,
                                const peer::acknowledgements& acknowledged,
                                member_table& members);
    // Whether updates or acknowledgements are pending for `to`.
    [[nodiscard]] bool has_news_for(const contact& to,
                                    const member_table& members);
    // Must be called after any change of an applied version.
    void on_applied_changed() { m_summary.reset(); }

private:
    struct acknowledgement_summary {
        std::uint64_t names_generation = 0;
        std::uint64_t hash = 0;
        peer::acknowledgements acknowledged;
    };
    const acknowledgement_summary& summarize(const member_table& members);

    std::map<base::instance_id, contact> m_contacts;
    std::optional<acknowledgement_summary> m_summary;
};

// Returns an upper estimate of the encoded size in bytes.
[[nodiscard]] std::size_t estimated_bytes(const peer::gossip& g);

} // namespace pollenreel::membership
