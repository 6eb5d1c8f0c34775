// Decides what news goes to which contact and when: every change is offered
// once to every contact, within a budget of bytes. Pure.
//
//   outreach o;
//   o.changed(id, source);        // a member's entry changed
//   auto g = o.gossip_for(contact, roster, most_updates);
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

// Updates in one message at most.
constexpr std::size_t max_updates_per_message = 16;
// Contacts at most: those probed, and those that probe us.
constexpr std::size_t max_contacts = 24;

// A rate with a burst. Bounds what an instance sends beyond its probes.
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

struct contact {
    base::endpoint address;
    base::time_point last_heard;
    std::set<base::instance_id> pending_updates; // changed, not yet offered
    std::uint64_t acknowledged_hash = 0; // of what both are known to hold
    std::optional<base::time_point> differs_since;
};

class dissemination {
public:
    // Adds or refreshes a contact; null when there are too many.
    contact* add_or_refresh(const base::instance_id& id,
                            const base::endpoint& address,
                            base::time_point now);
    [[nodiscard]] contact* find(const base::instance_id& id);
    // Drops contacts not heard since `before`, but for those of `kept`.
    void drop_silent(base::time_point before,
                     const std::vector<base::instance_id>& kept);
    [[nodiscard]] std::map<base::instance_id, contact>& contacts() {
        return m_contacts;
    }

    // A member's entry changed; `source` told us, if anyone.
    void on_member_changed(const base::instance_id& member,
                           const base::instance_id& source);
    // What to tell `to` now. Its pending updates are taken off, up to
    // `most_updates`; acknowledgements go along when it may not have them.
    [[nodiscard]] peer::gossip make_gossip_for(contact& to,
                                               const member_table& members);
    // Takes in what a contact acknowledges. Returns whether that was news.
    bool merge_acknowledgements(const base::instance_id& from,
                                const peer::acknowledgements& acknowledged,
                                member_table& members);
    // Whether there is anything that `to` has not been offered.
    [[nodiscard]] bool has_news_for(const contact& to,
                                    const member_table& members);
    // After any change of an applied version.
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

// An upper estimate of the encoded size, in bytes.
[[nodiscard]] std::size_t estimated_bytes(const peer::gossip& g);

} // namespace pollenreel::membership
