#include "pollenreel/membership/core.hpp"

#include <algorithm>

namespace pollenreel::membership {

namespace {

using peer::member_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Each neighbour is probed once per period. A shorter period detects failures
// sooner but sends more bytes.
constexpr milliseconds probe_period{1000};
// Dead neighbours are probed once in this many rounds, to detect their return.
constexpr std::uint64_t rounds_per_dead_probe = 5;
// A suspect that does not refute within this time is declared dead. Suspects
// are already withheld from callers; the timeout only decides when they count
// as dead.
constexpr seconds suspicion_timeout{3};
// Contacts asked to probe a member that did not answer.
constexpr std::size_t indirect_prober_count = 3;
// After a longer gap between ticks, this process is assumed to have been
// paused.
constexpr milliseconds max_tick_gap{1000};
// How often an address that is not a live or suspect member is probed.
constexpr seconds discovery_period{5};
constexpr milliseconds joining_discovery_period{500};
// A view that has differed for this long is synchronized by buckets. Updates in
// flight resolve most differences sooner.
constexpr seconds sync_delay{2};
constexpr milliseconds sync_period{1000};
constexpr milliseconds housekeeping_period{1000};
constexpr seconds contact_timeout{10};
// Limit on members sent in answer to one sync request.
constexpr std::size_t max_synced_members = 128;
// Rates of news and sync traffic. Together with probes and answers, an instance
// stays within 2 KB/s.
constexpr double news_bytes_per_second = 800;
constexpr double news_burst_bytes = 64 * 1024;
constexpr double sync_bytes_per_second = 400;
constexpr double sync_burst_bytes = 256 * 1024;

} // namespace

core::core(peer::member self, std::vector<base::endpoint> seeds,
           std::uint64_t seed, base::time_point now)
    : m_members(std::move(self), now), m_random(seed),
      m_discovery_addresses(seeds), m_seeds(std::move(seeds)),
      m_next_probe(now), m_next_discovery(now), m_next_sync(now),
      m_next_housekeeping(now),
      m_news_limiter(news_bytes_per_second, news_burst_bytes),
      m_sync_limiter(sync_bytes_per_second, sync_burst_bytes) {}

const base::instance_id& core::own_id() const {
    return m_members.self().member.instance;
}

const base::endpoint& core::own_address() const {
    return m_members.self().member.peer_address;
}

base::time_point core::next_wakeup() const {
    return std::min({m_next_probe, m_next_discovery, m_next_housekeeping});
}

std::vector<peer::member> core::usable_members() const {
    std::vector<peer::member> list;
    for (const auto& [id, e] : m_members.all()) {
        if (is_usable(e)) {
            list.push_back(e.member);
        }
    }
    return list;
}

void core::set_applied(base::config_version version) {
    if (m_members.raise_applied(own_id(), version)) {
        m_dissemination.on_applied_changed();
    }
}

void core::set_leaving(bool leaving, base::time_point now) {
    auto own = m_members.self().member;
    if (own.leaving == leaving) {
        return;
    }
    own.leaving = leaving;
    ++own.incarnation;
    m_members.merge({own, member_state::live}, now);
    m_dissemination.on_member_changed(own_id(), {});
}

void core::set_regions(region_map regions) {
    if (regions != m_regions) {
        m_regions = std::move(regions);
        m_neighbours_generation = 0;
    }
}

void core::on_platform_list_changed(std::span<const platform_instance> list) {
    m_discovery_addresses = m_seeds;
    m_urgent_probes.clear();
    for (const auto& p : list) {
        m_discovery_addresses.push_back(p.peer_address);
        if (p.leaving) {
            m_urgent_probes.push_back(p.instance);
        }
    }
    for (const auto& id : m_neighbours) {
        const bool listed =
            std::any_of(list.begin(), list.end(),
                        [&](const auto& p) { return p.instance == id; });
        if (!listed) {
            m_urgent_probes.push_back(id);
        }
    }
    std::erase_if(m_urgent_probes, [&](const auto& id) {
        return std::find(m_neighbours.begin(), m_neighbours.end(), id) ==
               m_neighbours.end();
    });
}

void core::tick(base::time_point now, outbox& out) {
    if (m_last_tick && now - *m_last_tick > max_tick_gap) {
        resume_after_pause(now);
    }
    m_last_tick = now;
    handle_probe_timeouts(now, out);
    expire_suspicions(now);
    refresh_neighbours(now);
    probe_neighbours(now, out);
    discover_members(now, out);
    start_sync(now, out);
    send_news(now, out);
    m_contact_count = m_dissemination.contacts().size();
}

// Answers may have arrived while this process was not running, so overdue
// probes and suspicions are discarded or restarted.
void core::resume_after_pause(base::time_point now) {
    m_probes.clear();
    m_members.restart_suspicion_timers(now);
    m_next_probe = now;
    for (auto& [id, c] : m_dissemination.contacts()) {
        c.last_heard = now;
    }
}

void core::handle_probe_timeouts(base::time_point now, outbox& out) {
    const auto due = m_probes.expire(now);
    for (const auto sequence : due.retry) {
        const auto& address = m_probes.address(sequence);
        out.push_back(
            {address, peer::probe{own_id(), own_address(), sequence, {}}});
        auto& contacts = m_dissemination.contacts();
        for (std::size_t i = 0; i < indirect_prober_count && !contacts.empty();
             ++i) {
            auto prober = contacts.begin();
            std::advance(prober, m_random.below(contacts.size()));
            if (prober->second.address != address) {
                out.push_back({prober->second.address,
                               peer::probe_request{own_id(), own_address(),
                                                   sequence, address}});
            }
        }
    }
    for (const auto& id : due.unreachable) {
        if (m_members.set_state(id, member_state::suspect, now)) {
            ++m_counters.suspicions;
            m_dissemination.on_member_changed(id, {});
        }
    }
}

void core::expire_suspicions(base::time_point now) {
    if (now < m_next_housekeeping) {
        return;
    }
    m_next_housekeeping = now + housekeeping_period;
    std::vector<base::instance_id> expired;
    for (const auto& [id, e] : m_members.all()) {
        if (e.state == member_state::suspect &&
            now - e.state_since >= suspicion_timeout) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        m_members.set_state(id, member_state::dead, now);
        m_dissemination.on_member_changed(id, {});
    }
    m_members.remove_expired_tombstones(now);
    m_dissemination.drop_silent(now - contact_timeout, m_neighbours);
}

void core::refresh_neighbours(base::time_point now) {
    if (m_neighbours_generation == m_members.names_generation()) {
        return;
    }
    m_neighbours_generation = m_members.names_generation();
    m_neighbours = choose_neighbours(m_members, m_regions);
    for (const auto& id : m_neighbours) {
        const auto* e = m_members.find(id);
        auto* contact = m_dissemination.find(id);
        if (contact == nullptr) {
            m_dissemination.add_or_refresh(id, e->member.peer_address, now);
        } else {
            contact->address = e->member.peer_address;
        }
    }
}

void core::probe_neighbours(base::time_point now, outbox& out) {
    for (const auto& id : m_urgent_probes) {
        probe(id, now, out);
    }
    m_urgent_probes.clear();
    while (now >= m_next_probe && !m_neighbours.empty()) {
        m_next_neighbour = (m_next_neighbour + 1) % m_neighbours.size();
        m_round += m_next_neighbour == 0 ? 1 : 0;
        m_next_probe += probe_period / m_neighbours.size();
        const auto& id = m_neighbours[m_next_neighbour];
        const auto* e = m_members.find(id);
        const bool dead = e == nullptr || e->state == member_state::dead;
        if (!dead || m_round % rounds_per_dead_probe == 0) {
            probe(id, now, out);
        }
    }
    m_next_probe = std::max(m_next_probe, now);
}

void core::probe(const base::instance_id& id, base::time_point now,
                 outbox& out) {
    const auto* e = m_members.find(id);
    if (e == nullptr || m_probes.is_probing(id)) {
        return;
    }
    ++m_counters.probes;
    const auto& address = e->member.peer_address;
    const auto sequence = m_probes.begin_direct(id, address, now);
    out.push_back({address, peer::probe{own_id(), own_address(), sequence,
                                        gossip_to(id)}});
}

void core::discover_members(base::time_point now, outbox& out) {
    if (now < m_next_discovery) {
        return;
    }
    m_next_discovery = now + (m_joined ? milliseconds(discovery_period)
                                       : joining_discovery_period);
    auto unknown_addresses = m_discovery_addresses;
    for (const auto& [id, e] : m_members.all()) {
        if (e.state != member_state::dead) {
            std::erase(unknown_addresses, e.member.peer_address);
        }
    }
    if (unknown_addresses.empty()) {
        return;
    }
    const auto& to =
        unknown_addresses[m_random.below(unknown_addresses.size())];
    peer::gossip g;
    g.applied = m_members.self().applied;
    g.view_digest = m_members.digest();
    g.updates.push_back(m_members.update_of(m_members.self()));
    const auto sequence = m_probes.begin_discovery(now);
    out.push_back({to, peer::probe{own_id(), own_address(), sequence, g}});
}

peer::gossip core::gossip_to(const base::instance_id& id) {
    peer::gossip g;
    if (auto* c = m_dissemination.find(id)) {
        g = m_dissemination.make_gossip_for(*c, m_members);
    } else {
        g.applied = m_members.self().applied;
        g.view_digest = m_members.digest();
    }
    const auto* e = m_members.find(id);
    if (e != nullptr && e->state != member_state::live) {
        g.updates.push_back(m_members.update_of(*e)); // so that it can refute
    }
    return g;
}

void core::send_news(base::time_point now, outbox& out) {
    for (auto& [id, c] : m_dissemination.contacts()) {
        const auto* e = m_members.find(id);
        const bool dead = e != nullptr && e->state == member_state::dead;
        if (dead || !m_dissemination.has_news_for(c, m_members)) {
            continue;
        }
        if (!m_news_limiter.has_capacity(now)) {
            return;
        }
        peer::news n{own_id(), m_dissemination.make_gossip_for(c, m_members)};
        m_news_limiter.consume(estimated_bytes(n.gossip));
        out.push_back({c.address, std::move(n)});
    }
}

void core::start_sync(base::time_point now, outbox& out) {
    if (now < m_next_sync) {
        return;
    }
    for (auto& [id, c] : m_dissemination.contacts()) {
        const bool due = c.differs_since &&
                         (!m_joined || now - *c.differs_since >= sync_delay);
        if (due) {
            m_next_sync = now + sync_period;
            c.differs_since = now;
            ++m_counters.syncs;
            const auto& b = m_members.buckets();
            out.push_back({c.address, peer::sync_request{own_id(),
                                                         own_address(),
                                                         {b.begin(), b.end()},
                                                         false}});
            return;
        }
    }
}

void core::receive(const peer::probe& m, base::time_point now, outbox& out) {
    m_dissemination.add_or_refresh(m.sender, m.reply_to, now);
    merge_gossip(m.sender, m.gossip, now);
    peer::probe_answer answer{own_id(), m.sequence, gossip_to(m.sender)};
    const auto describes_sender = [&](const auto& u) {
        return u.member.instance == m.sender;
    };
    if (std::any_of(m.gossip.updates.begin(), m.gossip.updates.end(),
                    describes_sender)) {
        answer.gossip.updates.push_back(m_members.update_of(m_members.self()));
    }
    out.push_back({m.reply_to, std::move(answer)});
}

void core::receive(const peer::probe_answer& m, base::time_point now,
                   outbox& out) {
    if (auto requester = m_probes.on_answer(m.sequence)) {
        peer::probe_answer forwarded{m.sender, requester->sequence, {}};
        forwarded.gossip.applied = m.gossip.applied;
        forwarded.gossip.view_digest = m.gossip.view_digest;
        out.push_back({requester->reply_to, std::move(forwarded)});
    }
    if (auto* c = m_dissemination.find(m.sender)) {
        c->last_heard = now;
    }
    merge_gossip(m.sender, m.gossip, now);
}

void core::receive(const peer::probe_request& m, base::time_point now,
                   outbox& out) {
    const auto sequence =
        m_probes.begin_on_behalf_of({m.reply_to, m.sequence}, now);
    out.push_back(
        {m.target, peer::probe{own_id(), own_address(), sequence, {}}});
}

void core::receive(const peer::news& m, base::time_point now, outbox&) {
    merge_gossip(m.sender, m.gossip, now);
}

void core::receive(const peer::sync_request& m, base::time_point now,
                   outbox& out) {
    if (m.buckets.size() != bucket_count || !m_sync_limiter.has_capacity(now)) {
        return;
    }
    send_differing_members(m, now, out);
    if (!m.answer) {
        const auto& b = m_members.buckets();
        out.push_back({m.reply_to, peer::sync_request{own_id(),
                                                      own_address(),
                                                      {b.begin(), b.end()},
                                                      true}});
    }
}

// Starts at a random bucket, so that repeated answers of limited size cover all
// differing buckets.
void core::send_differing_members(const peer::sync_request& request,
                                  base::time_point, outbox& out) {
    std::vector<std::vector<const member_entry*>> by_bucket(bucket_count);
    for (const auto& [id, e] : m_members.all()) {
        by_bucket[member_table::bucket_of(id)].push_back(&e);
    }
    peer::news news;
    std::size_t sent = 0;
    const auto flush = [&] {
        if (!news.gossip.updates.empty()) {
            news.sender = own_id();
            news.gossip.applied = m_members.self().applied;
            news.gossip.view_digest = m_members.digest();
            m_sync_limiter.consume(estimated_bytes(news.gossip));
            out.push_back({request.reply_to, std::move(news)});
            news = {};
        }
    };
    const auto first = m_random.below(bucket_count);
    for (std::size_t i = 0; i < bucket_count && sent < max_synced_members;
         ++i) {
        const auto bucket = (first + i) % bucket_count;
        if (request.buckets[bucket] == m_members.buckets()[bucket]) {
            continue;
        }
        for (const auto* e : by_bucket[bucket]) {
            news.gossip.updates.push_back(m_members.update_of(*e));
            ++sent;
            if (news.gossip.updates.size() == max_updates_per_message) {
                flush();
            }
        }
    }
    flush();
}

void core::merge_gossip(const base::instance_id& from, const peer::gossip& g,
                        base::time_point now) {
    for (const auto& u : g.updates) {
        merge_update(from, u, now);
    }
    if (m_members.raise_applied(from, g.applied)) {
        m_dissemination.on_applied_changed();
    }
    if (g.acknowledged) {
        m_dissemination.merge_acknowledgements(from, *g.acknowledged,
                                               m_members);
    }
    compare_digest(from, g.view_digest, now);
}

void core::merge_update(const base::instance_id& from,
                        const peer::member_update& u, base::time_point now) {
    if (u.member.instance == own_id()) {
        return refute(u, now);
    }
    if (m_members.merge(u, now)) {
        m_dissemination.on_member_changed(u.member.instance, from);
    }
}

// Overrides a wrong claim about this instance with a greater incarnation: a
// suspicion, or a record from before a restart whose incarnation is greater
// because the clock was ahead.
void core::refute(const peer::member_update& claim, base::time_point now) {
    auto own = m_members.self().member;
    const bool current =
        claim.member.incarnation < own.incarnation ||
        (claim.member == own && claim.state == member_state::live);
    if (current) {
        return;
    }
    own.incarnation = claim.member.incarnation + 1;
    m_members.merge({own, member_state::live}, now);
    m_dissemination.on_member_changed(own_id(), {});
    ++m_counters.refutations;
}

void core::compare_digest(const base::instance_id& from, std::uint64_t digest,
                          base::time_point now) {
    if (digest == 0) {
        return; // the message carries no digest
    }
    auto* c = m_dissemination.find(from);
    const bool same = digest == m_members.digest();
    if (same && m_members.all().size() > 1) {
        m_joined = true;
    }
    if (c == nullptr) {
        return;
    }
    if (same) {
        c->differs_since.reset();
    } else if (!c->differs_since) {
        c->differs_since = now;
    }
}

} // namespace pollenreel::membership
