#include "pollenreel/membership/core.hpp"

#include <algorithm>

namespace pollenreel::membership {

namespace {

using peer::member_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Each neighbour is probed once in this time. Trades bytes against how soon a
// death is noticed.
constexpr milliseconds probe_period{1000};
// The dead are probed once in so many rounds, to notice their return.
constexpr std::uint64_t rounds_between_dead = 5;
// A suspect that does not refute in this time is held to be dead. Suspects
// are not named to callers either; this decides only when they count as gone.
constexpr seconds suspicion_time{3};
// Members that are asked to probe one that did not answer.
constexpr std::size_t helpers = 3;
// A longer gap between ticks is a pause of this process.
constexpr milliseconds pause_limit{1000};
// Seeds that are not living members are asked this often.
constexpr seconds introduction_period{5};
constexpr milliseconds joining_period{500};
// Views that differ this long are compared bucket by bucket; news on its way
// settles most differences sooner.
constexpr seconds difference_time{2};
constexpr milliseconds sync_period{1000};
constexpr milliseconds housekeeping_period{1000};
constexpr seconds contact_silence{10};
// Members of differing buckets sent in answer to one request.
constexpr std::size_t most_synced = 128;
// Beyond probes and answers. Together they stay within 2 KB/s.
constexpr double news_bytes_per_second = 800;
constexpr double news_burst_bytes = 64 * 1024;
constexpr double sync_bytes_per_second = 400;
constexpr double sync_burst_bytes = 256 * 1024;

} // namespace

core::core(peer::member self, std::vector<base::endpoint> seeds,
           std::uint64_t seed, base::time_point now)
    : m_members(std::move(self), now), m_random(seed), m_introductions(seeds),
      m_seeds(std::move(seeds)), m_next_probe(now), m_next_introduction(now),
      m_next_sync(now), m_next_housekeeping(now),
      m_news_budget(news_bytes_per_second, news_burst_bytes),
      m_sync_budget(sync_bytes_per_second, sync_burst_bytes) {}

const base::instance_id& core::self() const {
    return m_members.self().member.instance;
}

const base::endpoint& core::own_address() const {
    return m_members.self().member.peer_address;
}

base::time_point core::next_wakeup() const {
    return std::min({m_next_probe, m_next_introduction, m_next_housekeeping});
}

std::vector<peer::member> core::usable_members() const {
    std::vector<peer::member> list;
    for (const auto& [id, e] : m_members.all()) {
        if (usable(e)) {
            list.push_back(e.member);
        }
    }
    return list;
}

void core::set_applied(base::config_version version) {
    if (m_members.set_applied(self(), version)) {
        m_outreach.applied_changed();
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
    m_outreach.changed(self(), {});
}

void core::set_regions(localities regions) {
    if (regions != m_regions) {
        m_regions = std::move(regions);
        m_neighbours_of = 0;
    }
}

void core::platform_list_changed(std::span<const platform_entry> list) {
    m_introductions = m_seeds;
    m_probe_soon.clear();
    for (const auto& p : list) {
        m_introductions.push_back(p.peer_address);
        if (p.leaving) {
            m_probe_soon.push_back(p.instance);
        }
    }
    for (const auto& id : m_neighbours) {
        const bool listed =
            std::any_of(list.begin(), list.end(),
                        [&](const auto& p) { return p.instance == id; });
        if (!listed) {
            m_probe_soon.push_back(id);
        }
    }
    std::erase_if(m_probe_soon, [&](const auto& id) {
        return std::find(m_neighbours.begin(), m_neighbours.end(), id) ==
               m_neighbours.end();
    });
}

void core::tick(base::time_point now, outbox& out) {
    if (m_last_tick && now - *m_last_tick > pause_limit) {
        resume_after_pause(now);
    }
    m_last_tick = now;
    chase_probes(now, out);
    expire_suspicions(now);
    refresh_neighbours(now);
    probe_next(now, out);
    introduce(now, out);
    start_sync(now, out);
    send_news(now, out);
    m_contact_count = m_outreach.contacts().size();
}

// Answers may have come while this process did not run: nothing that is
// overdue says anything about others.
void core::resume_after_pause(base::time_point now) {
    m_prober.clear();
    m_members.restart_suspicions(now);
    m_next_probe = now;
    for (auto& [id, c] : m_outreach.contacts()) {
        c.heard = now;
    }
}

void core::chase_probes(base::time_point now, outbox& out) {
    const auto due = m_prober.expire(now);
    for (const auto sequence : due.retry) {
        const auto& address = m_prober.address(sequence);
        out.push_back(
            {address, peer::probe{self(), own_address(), sequence, {}}});
        auto& contacts = m_outreach.contacts();
        for (std::size_t i = 0; i < helpers && !contacts.empty(); ++i) {
            auto helper = contacts.begin();
            std::advance(helper, m_random.below(contacts.size()));
            if (helper->second.address != address) {
                out.push_back({helper->second.address,
                               peer::probe_request{self(), own_address(),
                                                   sequence, address}});
            }
        }
    }
    for (const auto& id : due.failed) {
        if (m_members.judge(id, member_state::suspect, now)) {
            ++m_counters.suspicions;
            m_outreach.changed(id, {});
        }
    }
}

void core::expire_suspicions(base::time_point now) {
    if (now < m_next_housekeeping) {
        return;
    }
    m_next_housekeeping = now + housekeeping_period;
    std::vector<base::instance_id> gone;
    for (const auto& [id, e] : m_members.all()) {
        if (e.state == member_state::suspect &&
            now - e.since >= suspicion_time) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        m_members.judge(id, member_state::dead, now);
        m_outreach.changed(id, {});
    }
    m_members.forget_dead(now);
    m_outreach.drop_silent(now - contact_silence, m_neighbours);
}

void core::refresh_neighbours(base::time_point now) {
    if (m_neighbours_of == m_members.names_generation()) {
        return;
    }
    m_neighbours_of = m_members.names_generation();
    m_neighbours = choose_neighbours(m_members, m_regions);
    for (const auto& id : m_neighbours) {
        const auto* e = m_members.find(id);
        auto* known = m_outreach.find(id);
        if (known == nullptr) {
            m_outreach.touch(id, e->member.peer_address, now);
        } else {
            known->address = e->member.peer_address;
        }
    }
}

void core::probe_next(base::time_point now, outbox& out) {
    for (const auto& id : m_probe_soon) {
        probe(id, now, out);
    }
    m_probe_soon.clear();
    while (now >= m_next_probe && !m_neighbours.empty()) {
        m_next_neighbour = (m_next_neighbour + 1) % m_neighbours.size();
        m_round += m_next_neighbour == 0 ? 1 : 0;
        m_next_probe += probe_period / m_neighbours.size();
        const auto& id = m_neighbours[m_next_neighbour];
        const auto* e = m_members.find(id);
        const bool dead = e == nullptr || e->state == member_state::dead;
        if (!dead || m_round % rounds_between_dead == 0) {
            probe(id, now, out);
        }
    }
    m_next_probe = std::max(m_next_probe, now);
}

void core::probe(const base::instance_id& id, base::time_point now,
                 outbox& out) {
    const auto* e = m_members.find(id);
    if (e == nullptr || m_prober.probing(id)) {
        return;
    }
    ++m_counters.probes;
    const auto& address = e->member.peer_address;
    const auto sequence = m_prober.begin(id, address, now);
    out.push_back(
        {address, peer::probe{self(), own_address(), sequence, gossip_to(id)}});
}

void core::introduce(base::time_point now, outbox& out) {
    if (now < m_next_introduction) {
        return;
    }
    m_next_introduction =
        now + (m_joined ? milliseconds(introduction_period) : joining_period);
    auto strangers = m_introductions;
    for (const auto& [id, e] : m_members.all()) {
        if (e.state != member_state::dead) {
            std::erase(strangers, e.member.peer_address);
        }
    }
    if (strangers.empty()) {
        return;
    }
    const auto& to = strangers[m_random.below(strangers.size())];
    peer::gossip g;
    g.applied = m_members.self().applied;
    g.view_digest = m_members.digest();
    g.updates.push_back(m_members.update_of(m_members.self()));
    const auto sequence = m_prober.begin_unjudged(now);
    out.push_back({to, peer::probe{self(), own_address(), sequence, g}});
}

peer::gossip core::gossip_to(const base::instance_id& id) {
    peer::gossip g;
    if (auto* c = m_outreach.find(id)) {
        g = m_outreach.gossip_for(*c, m_members);
    } else {
        g.applied = m_members.self().applied;
        g.view_digest = m_members.digest();
    }
    const auto* e = m_members.find(id);
    if (e != nullptr && e->state != member_state::live) {
        g.updates.push_back(m_members.update_of(*e)); // for it to refute
    }
    return g;
}

void core::send_news(base::time_point now, outbox& out) {
    for (auto& [id, c] : m_outreach.contacts()) {
        const auto* e = m_members.find(id);
        const bool dead = e != nullptr && e->state == member_state::dead;
        if (dead || !m_outreach.owes(c, m_members)) {
            continue;
        }
        if (!m_news_budget.has_left(now)) {
            return;
        }
        peer::news n{self(), m_outreach.gossip_for(c, m_members)};
        m_news_budget.spend(estimated_bytes(n.gossip));
        out.push_back({c.address, std::move(n)});
    }
}

void core::start_sync(base::time_point now, outbox& out) {
    if (now < m_next_sync) {
        return;
    }
    for (auto& [id, c] : m_outreach.contacts()) {
        const bool due =
            c.differs_since &&
            (!m_joined || now - *c.differs_since >= difference_time);
        if (due) {
            m_next_sync = now + sync_period;
            c.differs_since = now;
            ++m_counters.syncs;
            const auto& b = m_members.buckets();
            out.push_back({c.address, peer::sync_request{self(),
                                                         own_address(),
                                                         {b.begin(), b.end()},
                                                         false}});
            return;
        }
    }
}

void core::receive(const peer::probe& m, base::time_point now, outbox& out) {
    m_outreach.touch(m.sender, m.reply_to, now);
    take(m.sender, m.gossip, now);
    peer::probe_answer answer{self(), m.sequence, gossip_to(m.sender)};
    const auto introduces_itself = [&](const auto& u) {
        return u.member.instance == m.sender;
    };
    if (std::any_of(m.gossip.updates.begin(), m.gossip.updates.end(),
                    introduces_itself)) {
        answer.gossip.updates.push_back(m_members.update_of(m_members.self()));
    }
    out.push_back({m.reply_to, std::move(answer)});
}

void core::receive(const peer::probe_answer& m, base::time_point now,
                   outbox& out) {
    if (auto on_behalf = m_prober.answered(m.sequence)) {
        peer::probe_answer passed{m.sender, on_behalf->sequence, {}};
        passed.gossip.applied = m.gossip.applied;
        passed.gossip.view_digest = m.gossip.view_digest;
        out.push_back({on_behalf->reply_to, std::move(passed)});
    }
    if (auto* c = m_outreach.find(m.sender)) {
        c->heard = now;
    }
    take(m.sender, m.gossip, now);
}

void core::receive(const peer::probe_request& m, base::time_point now,
                   outbox& out) {
    const auto sequence = m_prober.begin_for({m.reply_to, m.sequence}, now);
    out.push_back({m.target, peer::probe{self(), own_address(), sequence, {}}});
}

void core::receive(const peer::news& m, base::time_point now, outbox&) {
    take(m.sender, m.gossip, now);
}

void core::receive(const peer::sync_request& m, base::time_point now,
                   outbox& out) {
    if (m.buckets.size() != bucket_count || !m_sync_budget.has_left(now)) {
        return;
    }
    send_differing(m, now, out);
    if (!m.answer) {
        const auto& b = m_members.buckets();
        out.push_back({m.reply_to,
                       peer::sync_request{
                           self(), own_address(), {b.begin(), b.end()}, true}});
    }
}

// Begins at a random bucket, so that a bounded answer covers all in time.
void core::send_differing(const peer::sync_request& m, base::time_point,
                          outbox& out) {
    std::vector<std::vector<const entry*>> by_bucket(bucket_count);
    for (const auto& [id, e] : m_members.all()) {
        by_bucket[roster::bucket_of(id)].push_back(&e);
    }
    peer::news n;
    std::size_t sent = 0;
    const auto flush = [&] {
        if (!n.gossip.updates.empty()) {
            n.sender = self();
            n.gossip.applied = m_members.self().applied;
            n.gossip.view_digest = m_members.digest();
            m_sync_budget.spend(estimated_bytes(n.gossip));
            out.push_back({m.reply_to, std::move(n)});
            n = {};
        }
    };
    const auto first = m_random.below(bucket_count);
    for (std::size_t i = 0; i < bucket_count && sent < most_synced; ++i) {
        const auto bucket = (first + i) % bucket_count;
        if (m.buckets[bucket] == m_members.buckets()[bucket]) {
            continue;
        }
        for (const auto* e : by_bucket[bucket]) {
            n.gossip.updates.push_back(m_members.update_of(*e));
            ++sent;
            if (n.gossip.updates.size() == most_updates) {
                flush();
            }
        }
    }
    flush();
}

void core::take(const base::instance_id& from, const peer::gossip& g,
                base::time_point now) {
    for (const auto& u : g.updates) {
        take(from, u, now);
    }
    if (m_members.set_applied(from, g.applied)) {
        m_outreach.applied_changed();
    }
    if (g.acknowledged) {
        m_outreach.take_acknowledged(from, *g.acknowledged, m_members);
    }
    note_digest(from, g.view_digest, now);
}

void core::take(const base::instance_id& from, const peer::member_update& u,
                base::time_point now) {
    if (u.member.instance == self()) {
        return refute(u, now);
    }
    if (m_members.merge(u, now)) {
        m_outreach.changed(u.member.instance, from);
    }
}

// Overrides whatever is said about this instance that is not so: a suspicion,
// or a past in which its clock was ahead.
void core::refute(const peer::member_update& said, base::time_point now) {
    auto own = m_members.self().member;
    const bool current =
        said.member.incarnation < own.incarnation ||
        (said.member == own && said.state == member_state::live);
    if (current) {
        return;
    }
    own.incarnation = said.member.incarnation + 1;
    m_members.merge({own, member_state::live}, now);
    m_outreach.changed(self(), {});
    ++m_counters.refutations;
}

void core::note_digest(const base::instance_id& from, std::uint64_t digest,
                       base::time_point now) {
    if (digest == 0) {
        return; // the message carried none
    }
    auto* c = m_outreach.find(from);
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
