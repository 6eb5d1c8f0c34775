// The membership protocol of one instance: SWIM (Das, Gupta and Motivala,
// 2002) with suspicion, incarnations and indirect probes, over a bounded set of
// neighbours, with anti-entropy. An instance's traffic and number of
// connections do not grow with the fleet. Performs no I/O: takes messages and
// the time, returns messages to send.
//
//   membership::core c(self, seeds, random_seed, now);
//   membership::outbox out;
//   c.tick(now, out);                    // every 100 ms
//   c.receive(probe, now, out);
//   for (const auto& e : c.members().all()) ...
#pragma once

#include "pollenreel/base/random.hpp"
#include "pollenreel/membership/dissemination.hpp"
#include "pollenreel/membership/member_table.hpp"
#include "pollenreel/membership/neighbours.hpp"
#include "pollenreel/membership/probe_tracker.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace pollenreel::membership {

// An instance in the platform's list. The list lags and may be wrong, so it
// never adds or removes a member by itself: it supplies addresses to probe, and
// neighbours that it marks as leaving or omits are probed at once.
struct platform_instance {
    base::instance_id instance;
    base::endpoint peer_address;
    bool leaving = false;
};

// Counts since start.
struct counters {
    std::uint64_t probes = 0;
    std::uint64_t suspicions = 0;  // raised by this instance
    std::uint64_t refutations = 0; // of claims about this instance
    std::uint64_t syncs = 0;       // anti-entropy requests sent
};

class core {
public:
    // `seeds` are the addresses probed first, and again whenever they do not
    // belong to a live or suspect member.
    core(peer::member self, std::vector<base::endpoint> seeds,
         std::uint64_t seed, base::time_point now);

    // Must be called about every 100 ms. After a gap of more than
    // `max_tick_gap` between calls, this process is assumed to have been
    // paused, and overdue probes raise no suspicions.
    void tick(base::time_point now, outbox& out);
    void receive(const peer::probe& m, base::time_point now, outbox& out);
    void receive(const peer::probe_answer& m, base::time_point now,
                 outbox& out);
    void receive(const peer::probe_request& m, base::time_point now,
                 outbox& out);
    void receive(const peer::news& m, base::time_point now, outbox& out);
    void receive(const peer::sync_request& m, base::time_point now,
                 outbox& out);

    // Sets the configuration version that this instance applies.
    void set_applied(base::config_version version);
    // Announces whether this instance is leaving and takes no new callers.
    void set_leaving(bool leaving, base::time_point now);
    void set_regions(region_map regions);
    void on_platform_list_changed(std::span<const platform_instance> list);

    [[nodiscard]] const member_table& members() const { return m_members; }
    // The members that may be returned to callers, including this instance.
    [[nodiscard]] std::vector<peer::member> usable_members() const;
    [[nodiscard]] const counters& counts() const { return m_counters; }
    // Number of instances that this one exchanges messages with.
    [[nodiscard]] std::size_t contact_count() const { return m_contact_count; }
    [[nodiscard]] base::time_point next_wakeup() const;

private:
    void merge_gossip(const base::instance_id& from, const peer::gossip& g,
                      base::time_point now);
    void merge_update(const base::instance_id& from,
                      const peer::member_update& u, base::time_point now);
    void refute(const peer::member_update& claim, base::time_point now);
    void compare_digest(const base::instance_id& from, std::uint64_t digest,
                        base::time_point now);

    void resume_after_pause(base::time_point now);
    void expire_suspicions(base::time_point now);
    void refresh_neighbours(base::time_point now);
    void probe_neighbours(base::time_point now, outbox& out);
    void probe(const base::instance_id& id, base::time_point now, outbox& out);
    void discover_members(base::time_point now, outbox& out);
    void handle_probe_timeouts(base::time_point now, outbox& out);
    void send_news(base::time_point now, outbox& out);
    void start_sync(base::time_point now, outbox& out);
    void send_differing_members(const peer::sync_request& request,
                                base::time_point now, outbox& out);
    [[nodiscard]] peer::gossip gossip_to(const base::instance_id& id);
    [[nodiscard]] const base::instance_id& own_id() const;
    [[nodiscard]] const base::endpoint& own_address() const;

    member_table m_members;
    dissemination m_dissemination;
    probe_tracker m_probes;
    base::random m_random;
    region_map m_regions;
    std::vector<base::instance_id> m_neighbours;
    std::vector<base::endpoint> m_discovery_addresses; // seeds, platform list
    std::vector<base::endpoint> m_seeds;
    std::vector<base::instance_id> m_urgent_probes;
    std::uint64_t m_neighbours_generation = 0; // last names_generation used
    std::size_t m_next_neighbour = 0;
    std::uint64_t m_round = 0;
    bool m_joined = false; // has had the same view as another instance
    std::size_t m_contact_count = 0;
    std::optional<base::time_point> m_last_tick;
    base::time_point m_next_probe;
    base::time_point m_next_discovery;
    base::time_point m_next_sync;
    base::time_point m_next_housekeeping;
    byte_rate_limiter m_news_limiter;
    byte_rate_limiter m_sync_limiter;
    counters m_counters;
};

} // namespace pollenreel::membership
