#include "pollenreel/membership/dissemination.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pollenreel::membership {

namespace {

constexpr std::size_t message_overhead_bytes = 72;
constexpr std::size_t update_bytes = 88;
constexpr std::size_t bits_per_byte = 8;

std::uint64_t hash_text(const std::string& text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns the greatest version applied by any member that is not dead.
base::config_version greatest_applied(const member_table& members) {
    base::config_version greatest;
    for (const auto& [id, e] : members.all()) {
        if (e.state != peer::member_state::dead) {
            greatest = std::max(greatest, e.applied);
        }
    }
    return greatest;
}

} // namespace

bool byte_rate_limiter::has_capacity(base::time_point now) {
    if (m_last_refill) {
        const std::chrono::duration<double> elapsed = now - *m_last_refill;
        m_available_bytes =
            std::min(m_burst_bytes,
                     m_available_bytes + elapsed.count() * m_bytes_per_second);
    }
    m_last_refill = now;
    return m_available_bytes > 0;
}

contact* dissemination::add_or_refresh(const base::instance_id& id,
                                       const base::endpoint& address,
                                       base::time_point now) {
    auto found = m_contacts.find(id);
    if (found == m_contacts.end()) {
        if (m_contacts.size() >= max_contacts) {
            return nullptr;
        }
        found = m_contacts.emplace(id, contact{}).first;
    }
    found->second.address = address;
    found->second.last_heard = now;
    return &found->second;
}

contact* dissemination::find(const base::instance_id& id) {
    const auto found = m_contacts.find(id);
    return found == m_contacts.end() ? nullptr : &found->second;
}

void dissemination::drop_silent(base::time_point before,
                                const std::vector<base::instance_id>& kept) {
    std::erase_if(m_contacts, [&](const auto& c) {
        return c.second.last_heard < before &&
               std::find(kept.begin(), kept.end(), c.first) == kept.end();
    });
}

void dissemination::on_member_changed(const base::instance_id& member,
                                      const base::instance_id& source) {
    for (auto& [id, c] : m_contacts) {
        if (id != source && id != member) {
            c.pending_updates.insert(member);
        }
    }
}

peer::gossip dissemination::make_gossip_for(contact& to,
                                            const member_table& members) {
    peer::gossip g;
    g.applied = members.self().applied;
    g.view_digest = members.digest();
    auto& pending = to.pending_updates;
    while (!pending.empty() && g.updates.size() < max_updates_per_message) {
        if (const auto* e = members.find(*pending.begin())) {
            g.updates.push_back(members.update_of(*e));
        }
        pending.erase(pending.begin());
    }
    const auto& s = summarize(members);
    if (s.hash != to.acknowledged_hash) {
        to.acknowledged_hash = s.hash;
        g.acknowledged = s.acknowledged;
    }
    return g;
}

bool dissemination::merge_acknowledgements(
    const base::instance_id& from, const peer::acknowledgements& acknowledged,
    member_table& members) {
    const auto& own = summarize(members).acknowledged;
    if (acknowledged.names_digest != own.names_digest ||
        acknowledged.bits.size() != own.bits.size() ||
        acknowledged.version < own.version) {
        return false;
    }
    const bool changed =
        acknowledged != own &&
        members.raise_applied(acknowledged.bits, acknowledged.version);
    if (changed) {
        m_summary.reset();
    }
    if (auto* c = find(from);
        c != nullptr && summarize(members).acknowledged == acknowledged) {
        c->acknowledged_hash = m_summary->hash;
    }
    return changed;
}

bool dissemination::has_news_for(const contact& to,
                                 const member_table& members) {
    return !to.pending_updates.empty() ||
           summarize(members).hash != to.acknowledged_hash;
}

const dissemination::acknowledgement_summary&
dissemination::summarize(const member_table& members) {
    if (m_summary &&
        m_summary->names_generation == members.names_generation()) {
        return *m_summary;
    }
    acknowledgement_summary summary;
    summary.names_generation = members.names_generation();
    summary.acknowledged.version = greatest_applied(members);
    std::size_t position = 0;
    for (const auto& [id, e] : members.all()) {
        if (e.state == peer::member_state::dead) {
            continue;
        }
        auto& digest = summary.acknowledged.names_digest;
        digest = hash_text(id.str(), digest + e.member.incarnation);
        if (position % bits_per_byte == 0) {
            summary.acknowledged.bits.push_back('\0');
        }
        if (e.applied >= summary.acknowledged.version) {
            summary.acknowledged.bits.back() = static_cast<char>(
                static_cast<unsigned char>(summary.acknowledged.bits.back()) |
                (1U << (position % bits_per_byte)));
        }
        ++position;
    }
    summary.hash = hash_text(summary.acknowledged.bits,
                             summary.acknowledged.names_digest ^
                                 summary.acknowledged.version.value());
    m_summary = std::move(summary);
    return *m_summary;
}

std::size_t estimated_bytes(const peer::gossip& g) {
    const auto bits = g.acknowledged ? g.acknowledged->bits.size() + 16 : 0;
    return message_overhead_bytes + bits + g.updates.size() * update_bytes;
}

} // namespace pollenreel::membership
